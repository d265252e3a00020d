#pragma once

namespace kingcupcart::admission {

/// Limits retries, hedges and resumes to a share of all requests, so that they can't amplify an
/// overload.
class retry_budget {
public:
    /// Each request adds `share` of a retry to the budget, which holds at most `burst` retries.
    retry_budget(double share, double burst) : share(share), burst(burst), balance(burst) {}

    void deposit() {
        this->balance += this->share;
        if (this->balance > this->burst) {
            this->balance = this->burst;
        }
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    [[nodiscard]] bool try_withdraw() {
        if (this->balance < 1) {
            return false;
        }
        this->balance -= 1;
        return true;
    }

    /// Returns one retry to the budget, after a withdrawal for a retry that was not sent.
    void refund() { this->balance += 1; }

private:
    double share;
    double burst;
    double balance;
};

} // namespace kingcupcart::admission
