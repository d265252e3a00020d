#include "telemetry/metric_set.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace kingcupcart::telemetry {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};
constexpr const char* name_prefix = "kingcupcart_";
/// Upper bounds of the histogram buckets, in seconds. Each is about twice the previous one; the
/// range covers a forwarded request, which takes a fraction of a millisecond, up to the longest
/// operation.
constexpr std::array<double, 14> bounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                        0.25,  0.5,    1,     2.5,  5,     10,   30};

using summary =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                                            acc::tag::extended_p_square_quantile_quadratic>>;

/// Builds a series name from `name{a="b"}`: adds `suffix` before the labels and `label` to them.
std::string series_name(const std::string& name, const std::string& suffix,
                        const std::string& label) {
    const auto brace = name.find('{');
    const std::string base_name = name.substr(0, brace);
    std::string labels =
        brace == std::string::npos ? "" : name.substr(brace + 1, name.size() - brace - 2);
    if (!label.empty()) {
        labels += (labels.empty() ? "" : ",") + label;
    }
    return name_prefix + base_name + suffix + (labels.empty() ? "" : "{" + labels + "}");
}

} // namespace

/// Quantiles since the process started, and the counts of a histogram's buckets, from which a
/// scraper can compute values for an interval.
struct latency {
    summary quantiles{acc::extended_p_square_probabilities = telemetry::quantiles};
    std::array<std::int64_t, bounds.size()> buckets{};

    void add(double seconds) {
        this->quantiles(seconds);
        const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds);
        if (bucket != bounds.end()) {
            ++this->buckets.at(static_cast<std::size_t>(bucket - bounds.begin()));
        }
    }
};

class metric_set::tables {
public:
    std::map<std::string, std::int64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, latency> latencies;
};

metric_set::metric_set() : impl(std::make_unique<tables>()) {}
metric_set::~metric_set() = default;
metric_set::metric_set(metric_set&&) noexcept = default;
metric_set& metric_set::operator=(metric_set&&) noexcept = default;

void metric_set::count(const std::string& name, std::int64_t by) {
    this->impl->counters[name] += by;
}

void metric_set::set(const std::string& name, double value) {
    this->impl->gauges[name] = value;
}

void metric_set::observe(const std::string& name, duration value) {
    this->impl->latencies[name].add(std::chrono::duration<double>(value).count());
}

std::string metric_set::exposition() const {
    std::ostringstream text;
    for (const auto& [name, value] : this->impl->counters) {
        text << series_name(name, "", "") << ' ' << value << '\n';
    }
    for (const auto& [name, value] : this->impl->gauges) {
        text << series_name(name, "", "") << ' ' << value << '\n';
    }
    for (const auto& [name, measured] : this->impl->latencies) {
        const summary& value = measured.quantiles;
        for (const double probability : quantiles) {
            std::ostringstream label;
            label << "quantile=\"" << probability << '"';
            text << series_name(name, "", label.str()) << ' '
                 << acc::quantile(value, acc::quantile_probability = probability) << '\n';
        }
        std::int64_t cumulative = 0;
        for (std::size_t i = 0; i < bounds.size(); ++i) {
            cumulative += measured.buckets.at(i);
            std::ostringstream label;
            label << "le=\"" << bounds.at(i) << '"';
            text << series_name(name, "_bucket", label.str()) << ' ' << cumulative << '\n';
        }
        text << series_name(name, "_bucket", "le=\"+Inf\"") << ' ' << acc::count(value) << '\n';
        text << series_name(name, "_sum", "") << ' ' << acc::sum(value) << '\n';
        text << series_name(name, "_count", "") << ' ' << acc::count(value) << '\n';
        text << series_name(name, "_max", "") << ' ' << acc::max(value) << '\n';
    }
    return text.str();
}

} // namespace kingcupcart::telemetry
