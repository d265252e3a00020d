#pragma once

namespace kingcupcart::admission {

/// Bounds retries and hedges to a share of the work, so that they cannot multiply an overload.
class retry_budget {
public:
    /// `share` of a retry is earned per request; at most `burst` retries are saved up.
    retry_budget(double share, double burst) : share(share), burst(burst), saved(burst) {}

    void earn() {
        this->saved += this->share;
        if (this->saved > this->burst) {
            this->saved = this->burst;
        }
    }

    /// False where the budget is used up.
    [[nodiscard]] bool spend() {
        if (this->saved < 1) {
            return false;
        }
        this->saved -= 1;
        return true;
    }

    /// Gives back what was spent on a retry that did not take place.
    void refund() { this->saved += 1; }

private:
    double share;
    double burst;
    double saved;
};

} // namespace kingcupcart::admission
