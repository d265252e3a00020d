#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "duties/platform_call.h"
#include "duties/usage_windows.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace kingcupcart::duties {

/// Counts of one gateway: the requests of each client account that began to run in each window.
class usage_counter {
public:
    explicit usage_counter(usage_windows windows) : windows(windows) {}

    /// A request of the account began to run at a target. Not counted if the account is empty.
    void add(const account_name& account, wall_time began);
    /// The counts of the windows that have changed since the last call, complete for each of these
    /// windows and cumulative since the gateway started.
    [[nodiscard]] std::vector<usage_report> take_changes();
    /// The counts of all windows that are still stored.
    [[nodiscard]] std::vector<usage_report> all() const;
    /// Removes windows that have been reported for long.
    void expire(wall_time now);
    [[nodiscard]] std::uint64_t total() const { return this->added; }

private:
    usage_windows windows;
    std::map<std::uint64_t, std::map<account_name, std::uint64_t>> counts;
    std::set<std::uint64_t> changed;
    std::uint64_t added = 0;
};

} // namespace kingcupcart::duties
