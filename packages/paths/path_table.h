#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "paths/path_change.h"
#include "paths/path_evidence.h"
#include "paths/path_limits.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace kingcupcart::paths {

/// What an instance believes of its own network paths to targets. A state machine without I/O.
///
/// An instance is cut off from a backend if the paths to several of its targets were lost one
/// after the other, or to all that were left, and no connection to any was opened since: targets
/// that end one by one leave others that open. Evidence ages, so a path that is not tried again
/// counts as unknown.
class path_table {
public:
    path_table(path_limits limits, std::uint64_t seed);

    /// Adds a target or updates it. A target that leaves is not counted.
    void update_target(const target_id& target, const backend_name& backend, bool is_leaving,
                       time_point now);
    /// Discards the evidence about a target that was restarted.
    void reset_target(const target_id& target, time_point now);
    void remove_target(const target_id& target);

    /// A connection to the target was opened within this time. Returns the targets whose paths
    /// count as unknown again: those that were lost together with this one, if the instance was cut
    /// off from their backend until now.
    std::vector<target_id> record_open(const target_id& target, duration opening, time_point now);
    /// Bytes arrived on an open connection, which says nothing of new ones.
    void record_reached(const target_id& target, time_point now);
    void record_lost(const target_id& target, path_evidence evidence, time_point now);
    /// Discards evidence that is too old to count.
    void expire(time_point now);

    [[nodiscard]] bool is_lost(const target_id& target, time_point now) const;
    /// Whether written bytes were not acknowledged since the target was last heard of.
    [[nodiscard]] bool is_silent(const target_id& target, time_point now) const;
    [[nodiscard]] bool is_cut_off(const backend_name& backend, time_point now) const;
    [[nodiscard]] std::vector<backend_name> cut_off_backends(time_point now) const;
    /// Targets of the backend that do not leave.
    [[nodiscard]] std::vector<target_id> targets_of(const backend_name& backend) const;
    /// Time after which a connection to the target that has not opened counts as lost.
    [[nodiscard]] duration open_timeout(const target_id& target) const;
    /// The paths that were lost or regained since the last call.
    [[nodiscard]] std::vector<path_change> take_changes();

    /// A request needs the backend: its paths are probed for some time if it is cut off.
    void record_needed(const backend_name& backend, time_point now);
    /// When `take_due_probes` has to be called next; empty if no probe is due.
    [[nodiscard]] std::optional<time_point> next_probe(time_point now) const;
    /// Targets that a connection is to be opened to, whose result is reported by `record_open` or
    /// `record_lost`. One a backend at a time.
    std::vector<target_id> take_due_probes(time_point now);
    /// When `expire` has to be called next; empty if no path is lost.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

private:
    struct loss {
        time_point first{};
        time_point latest{};
        /// Position of the latest evidence among all records, since times may be equal.
        std::uint64_t order = 0;
        path_evidence evidence = path_evidence::refused;
    };
    struct target_path {
        backend_name backend;
        bool is_leaving = false;
        /// No connection could be opened.
        std::optional<loss> unopened;
        /// Written bytes were not acknowledged.
        std::optional<loss> silent;
        /// Empty before the first measurement.
        std::optional<duration> opening;
    };
    /// Targets by the order of their losses.
    using losses = std::map<std::uint64_t, target_id>;
    struct backend_paths {
        std::set<target_id> targets;
        /// Targets that do not leave.
        std::size_t staying = 0;
        /// Lost since a connection to any target was opened, and before.
        losses unopened;
        losses unopened_before;
        losses silent;
        /// Order of the latest opened connection or received bytes.
        std::uint64_t last_heard = 0;
        std::optional<time_point> last_needed;
        /// Doubles with each probe until a path opens.
        duration probe_delay{};
        /// Empty if a probe may begin at any time.
        std::optional<time_point> next_probe;
        /// The target that was probed last.
        target_id last_probed;
        /// When the running probe has failed at the latest; empty if none runs.
        std::optional<time_point> probe_end;
    };

    [[nodiscard]] const target_path* find(const target_id& target) const;
    [[nodiscard]] bool counts(const std::optional<loss>& evidence, time_point now) const;
    /// When the evidence that the instance is cut off has aged; empty if it is not.
    [[nodiscard]] std::optional<time_point> cut_off_until(const backend_paths& paths) const;
    [[nodiscard]] bool is_cut_off(const backend_paths& paths, time_point now) const;
    [[nodiscard]] bool wants_probes(const backend_paths& paths, time_point now) const;
    [[nodiscard]] static time_point due_probe(const backend_paths& paths, time_point now);
    [[nodiscard]] std::optional<target_id> next_target(const backend_paths& paths,
                                                       time_point now) const;
    /// Discards the evidence about the target, and reports the path as regained.
    void forget(const target_id& target, target_path& path, time_point now);
    void erase_unopened(backend_paths& paths, target_path& path);
    void erase_silent(backend_paths& paths, target_path& path);
    void end_probe(const target_id& target, backend_paths& paths);
    void leave_backend(const target_id& target, target_path& path);

    path_limits limits;
    std::mt19937_64 random;
    std::unordered_map<target_id, target_path> targets;
    std::map<backend_name, backend_paths> backends;
    std::uint64_t last_order = 0;
    /// Number of losses of all backends; zero on a calm path.
    std::size_t loss_count = 0;
    std::vector<path_change> changes;
};

} // namespace kingcupcart::paths
