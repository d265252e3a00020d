#pragma once

#include "base/clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace kingcupcart::telemetry {

/// The metrics of one task; no lock, since each task owns its own set. Quantiles are estimated by
/// Boost.Accumulators in constant memory.
class metric_set {
public:
    metric_set();
    ~metric_set();
    metric_set(metric_set&&) noexcept;
    metric_set& operator=(metric_set&&) noexcept;
    metric_set(const metric_set&) = delete;
    metric_set& operator=(const metric_set&) = delete;

    /// `name` may carry labels: `requests_total{outcome="answered"}`.
    void count(const std::string& name, std::int64_t by = 1);
    void set(const std::string& name, double value);
    void observe(const std::string& name, duration value);

    /// The text format of a metrics scraper; durations in seconds.
    [[nodiscard]] std::string exposition() const;

private:
    class tables;
    std::unique_ptr<tables> self;
};

} // namespace kingcupcart::telemetry
