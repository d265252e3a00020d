#include "duties/usage_windows.h"

#include <algorithm>

namespace kingcupcart::duties {

namespace {

/// The counts are committed after one part in `settle_share` of the time until the report is due.
/// With 10 s, this leaves 7.5 s for a leader's failure: 1 s for the election, 3.3 s for the lease,
/// and the rest for attempts.
constexpr int settle_share = 4;

} // namespace

std::uint64_t usage_windows::window_of(wall_time moment) const {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, moment.time_since_epoch() / this->settings.length));
}

wall_time usage_windows::end_of(std::uint64_t window) const {
    return wall_time(this->settings.length * static_cast<std::int64_t>(window + 1));
}

wall_time usage_windows::commit_time_of(std::uint64_t window) const {
    return this->end_of(window) + this->settings.late / settle_share;
}

std::optional<std::uint64_t> usage_windows::next_to_commit(std::uint64_t last, std::uint64_t first,
                                                           wall_time now) const {
    std::uint64_t next = last == 0 ? first : last + 1;
    const std::uint64_t current = this->window_of(now);
    if (current > this->settings.max_backlog) {
        next = std::max(next, current - this->settings.max_backlog);
    }
    return this->commit_time_of(next) <= now ? std::optional(next) : std::nullopt;
}

} // namespace kingcupcart::duties
