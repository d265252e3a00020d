#pragma once

#include "base/clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace kingcupcart::telemetry {

/// The metrics of one task. Not thread-safe: each task owns its set. Quantiles are estimated by
/// Boost.Accumulators in constant memory.
class metric_set {
public:
    metric_set();
    ~metric_set();
    metric_set(metric_set&&) noexcept;
    metric_set& operator=(metric_set&&) noexcept;
    metric_set(const metric_set&) = delete;
    metric_set& operator=(const metric_set&) = delete;

    /// Increments a counter. In all three functions, `name` may carry labels:
    /// `requests_total{outcome="answered"}`.
    void count(const std::string& name, std::int64_t by = 1);
    /// Sets a gauge.
    void set(const std::string& name, double value);
    /// Adds a duration to a summary and its histogram.
    void observe(const std::string& name, duration value);

    /// All metrics in the Prometheus text format, with durations in seconds.
    [[nodiscard]] std::string exposition() const;

private:
    class tables;
    std::unique_ptr<tables> impl;
};

} // namespace kingcupcart::telemetry
