#include "routing/slowdown_model.h"

#include <algorithm>

namespace kingcupcart::routing {

namespace {

/// Factor by which the weight of older observations decays with each observation.
constexpr double decay = 0.9995;
/// Slope before the first observation.
constexpr double prior_slope = 0.02;
/// Weight of the prior slope, as a variance of the load in requests squared. Load reports arrive
/// late, which biases the fitted slope towards zero.
constexpr double prior_variance = 20;
constexpr double min_slope = 0.01;
constexpr double max_slope = 0.2;

} // namespace

void slowdown_model::observe(double load, double seconds) {
    this->weight = this->weight * decay + 1;
    this->load_sum = this->load_sum * decay + load;
    this->seconds_sum = this->seconds_sum * decay + seconds;
    this->load_squared_sum = this->load_squared_sum * decay + load * load;
    this->load_seconds_sum = this->load_seconds_sum * decay + load * seconds;
}

double slowdown_model::slope() const {
    if (this->weight <= 0) {
        return prior_slope;
    }
    const double mean_load = this->load_sum / this->weight;
    const double mean_seconds = this->seconds_sum / this->weight;
    const double variance = this->load_squared_sum / this->weight - mean_load * mean_load;
    const double covariance = this->load_seconds_sum / this->weight - mean_load * mean_seconds;
    const double seconds_per_load = variance > 0 ? covariance / variance : 0;
    const double unloaded_seconds = mean_seconds - seconds_per_load * mean_load;
    if (unloaded_seconds <= 0) {
        return max_slope;
    }
    const double relative_covariance = covariance / unloaded_seconds;
    const double blended =
        (relative_covariance + prior_slope * prior_variance) / (variance + prior_variance);
    return std::clamp(blended, min_slope, max_slope);
}

} // namespace kingcupcart::routing
