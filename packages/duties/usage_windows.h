#pragma once

#include "base/wall_clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace kingcupcart::duties {

/// Divides the wall-clock time since 1970 into windows of equal length, and says which window's
/// counts are to be committed next.
class usage_windows {
public:
    struct limits {
        std::chrono::milliseconds length = std::chrono::seconds(5);
        /// Time after a window's end within which its report is due.
        std::chrono::milliseconds late = std::chrono::seconds(10);
        /// Windows that are still reported after an outage.
        std::uint64_t max_backlog = 60;
    };

    explicit usage_windows(limits settings) : settings(settings) {}

    [[nodiscard]] std::uint64_t window_of(wall_time moment) const;
    [[nodiscard]] wall_time end_of(std::uint64_t window) const;
    /// When the report of the window is due.
    [[nodiscard]] wall_time due_time_of(std::uint64_t window) const {
        return this->end_of(window) + this->settings.late;
    }
    /// When the counts of the window are committed. The time from then to the window's report being
    /// due lasts for an election, the lease of an earlier holder, and a few attempts.
    [[nodiscard]] wall_time commit_time_of(std::uint64_t window) const;
    /// The window to be committed now. `last` is the last one committed, 0 for none; `first` is the
    /// window in which the deployment first had accounts.
    [[nodiscard]] std::optional<std::uint64_t>
    next_to_commit(std::uint64_t last, std::uint64_t first, wall_time now) const;

private:
    limits settings;
};

} // namespace kingcupcart::duties
