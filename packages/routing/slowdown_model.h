#pragma once

namespace kingcupcart::routing {

/// Estimates how much an engine slows down per request in its batch. Fits the time per token
/// against the load by weighted least squares, in which older observations decay.
class slowdown_model {
public:
    /// `load` is the number of other requests on the engine; `seconds` is the time per token.
    void observe(double load, double seconds);
    /// Relative slowdown per concurrent request, as a share of the time per token without load;
    /// within [0.01, 0.2].
    [[nodiscard]] double slope() const;

private:
    double weight = 0;
    double load_sum = 0;
    double seconds_sum = 0;
    double load_squared_sum = 0;
    double load_seconds_sum = 0;
};

} // namespace kingcupcart::routing
