#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "duties/platform_call.h"
#include "duties/usage_windows.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace kingcupcart::duties {

/// The counts of all gateways, as one keeper has received them.
class usage_ledger {
public:
    /// Distinguishes a gateway's counts from those that it made before a restart.
    struct source {
        instance_id gateway;
        incarnation_id incarnation;

        friend auto operator<=>(const source&, const source&) = default;
    };

    explicit usage_ledger(usage_windows windows) : windows(windows) {}

    /// Counts that a gateway has sent; they include all requests that it counted until `as_of`.
    /// Returns how many of them came too late, since their window is committed already.
    std::uint64_t record(const source& from, wall_time as_of,
                         const std::vector<usage_report>& counts);
    /// The sum of the counts of the window.
    [[nodiscard]] usage_report sum(std::uint64_t window) const;
    /// Gateways that may have counted requests of the window that are not recorded here.
    [[nodiscard]] std::vector<instance_id> incomplete(std::uint64_t window) const;
    /// The window's counts are final; removes those of earlier ones that are no longer needed.
    void committed(std::uint64_t window);

private:
    [[nodiscard]] std::uint64_t total_of(const source& from, std::uint64_t window) const;

    usage_windows windows;
    std::map<std::uint64_t, std::map<source, std::map<account_name, std::uint64_t>>> counts;
    /// When each gateway last sent counts, by its own clock.
    std::map<source, wall_time> sources;
    std::uint64_t last_committed = 0;
};

} // namespace kingcupcart::duties
