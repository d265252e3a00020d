#include "process/limit_check.h"

#include <algorithm>

namespace kingcupcart::process_tests {

namespace {

constexpr duration window = std::chrono::seconds(4);
constexpr double allowed_excess = 1.5;
constexpr double allowed_burst = 5;

} // namespace

std::size_t allowed_in_window(double requests_per_second) {
    const double window_seconds = std::chrono::duration<double>(window).count();
    return static_cast<std::size_t>(allowed_excess * requests_per_second * window_seconds +
                                    allowed_burst);
}

std::size_t most_in_window(const std::vector<time_point>& arrivals, time_point begin,
                           time_point end) {
    std::size_t most = 0;
    auto first = std::lower_bound(arrivals.begin(), arrivals.end(), begin);
    for (auto last = first; last != arrivals.end() && *last <= end; ++last) {
        while (*last - *first > window) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

} // namespace kingcupcart::process_tests
