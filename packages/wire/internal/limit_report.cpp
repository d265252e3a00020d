#include "wire/limit_report.h"

#include <algorithm>
#include <cmath>

namespace kingcupcart::wire {

namespace {

constexpr double millionths = 1e6;

} // namespace

limit_report make_limit_report(const permits::target_limit& limit, time_point now) {
    limit_report report;
    report.target = limit.target;
    report.incarnation = limit.incarnation;
    if (limit.rate) {
        // At least one, since zero stands for no limit.
        const double rate = std::max(1.0, std::round(limit.rate->count() * millionths));
        report.millionths_per_second = static_cast<std::uint64_t>(rate);
    }
    report.age = std::max(duration::zero(), now - limit.stated_at);
    return report;
}

permits::target_limit parse_limit_report(const limit_report& report, time_point now) {
    permits::target_limit limit;
    limit.target = report.target;
    limit.incarnation = report.incarnation;
    if (report.millionths_per_second > 0) {
        limit.rate =
            requests_per_second(static_cast<double>(report.millionths_per_second) / millionths);
    }
    limit.stated_at = now - std::max(duration::zero(), report.age);
    return limit;
}

} // namespace kingcupcart::wire
