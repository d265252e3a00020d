#include "routing/slowdown_model.h"

#include <algorithm>

namespace kingcupcart::routing {

namespace {

constexpr double memory = 0.999;
constexpr double weight_needed = 50;
constexpr double slope_before_observations = 0.02;
constexpr double slope_max = 0.2;
/// Variance of load below which a fit says nothing, in requests squared.
constexpr double variance_needed = 0.5;

} // namespace

void slowdown_model::observe(double load, double seconds) {
    this->weight = this->weight * memory + 1;
    this->load_sum = this->load_sum * memory + load;
    this->seconds_sum = this->seconds_sum * memory + seconds;
    this->load_squares = this->load_squares * memory + load * load;
    this->products = this->products * memory + load * seconds;
}

double slowdown_model::slope() const {
    if (this->weight < weight_needed) {
        return slope_before_observations;
    }
    const double mean_load = this->load_sum / this->weight;
    const double mean_seconds = this->seconds_sum / this->weight;
    const double variance = this->load_squares / this->weight - mean_load * mean_load;
    if (variance < variance_needed) {
        return slope_before_observations;
    }
    const double covariance = this->products / this->weight - mean_load * mean_seconds;
    const double rise = covariance / variance;
    const double alone = mean_seconds - rise * mean_load;
    if (alone <= 0) {
        return slope_max;
    }
    return std::clamp(rise / alone, 0.0, slope_max);
}

} // namespace kingcupcart::routing
