#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "paths/path_evidence.h"
#include "paths/path_limits.h"

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
/// An instance is cut off from a backend if connections to several of its targets were lost one
/// after the other and none was opened since: targets that end one by one leave others that open.
class path_table {
public:
    path_table(path_limits limits, std::uint64_t seed);

    /// Adds a target or updates it; one that leaves is not counted.
    void update_target(const target_id& target, const backend_name& backend, bool is_leaving);
    /// Discards the evidence about a target that was restarted.
    void reset_target(const target_id& target);
    void remove_target(const target_id& target);

    /// A connection to the target was opened within this time. Returns the targets whose paths
    /// count as unknown again, since the instance was cut off from their backend until now.
    std::vector<target_id> record_open(const target_id& target, duration opening, time_point now);
    /// Bytes arrived on an open connection, which says nothing of new ones.
    void record_reached(const target_id& target, time_point now);
    void record_lost(const target_id& target, path_evidence evidence, time_point now);

    [[nodiscard]] bool is_lost(const target_id& target, time_point now) const;
    /// Whether written bytes were not acknowledged since the target was last heard of.
    [[nodiscard]] bool is_silent(const target_id& target, time_point now) const;
    [[nodiscard]] bool is_cut_off(const backend_name& backend, time_point now) const;
    [[nodiscard]] std::vector<backend_name> cut_off_backends(time_point now) const;
    /// Time after which a connection to the target that has not opened counts as lost.
    [[nodiscard]] duration open_timeout(const target_id& target) const;

    /// A request needs the backend: its paths are probed for some time if it is cut off.
    void record_needed(const backend_name& backend, time_point now);
    /// When `take_due_probes` has to be called next; empty if no probe is due.
    [[nodiscard]] std::optional<time_point> next_probe(time_point now) const;
    /// Targets that a connection is to be opened to, whose result is reported by `record_open` or
    /// `record_lost`. One a backend at a time.
    std::vector<target_id> take_due_probes(time_point now);

private:
    struct loss {
        time_point at{};
        path_evidence evidence = path_evidence::refused;
    };
    struct target_path {
        backend_name backend;
        bool is_leaving = false;
        std::optional<loss> lost;
        /// Empty before the first measurement.
        std::optional<duration> opening;
    };
    struct backend_paths {
        std::set<target_id> targets;
        time_point last_opened{};
        time_point last_needed{};
        /// Doubles with each probe until a path opens.
        duration probe_delay{};
        time_point next_probe{};
        /// The target that was probed last.
        target_id last_probed;
    };

    [[nodiscard]] const target_path* find(const target_id& target) const;
    [[nodiscard]] bool counts(const target_path& path, time_point now) const;
    [[nodiscard]] bool is_cut_off(const backend_paths& paths, time_point now) const;
    [[nodiscard]] bool wants_probes(const backend_paths& paths, time_point now) const;
    [[nodiscard]] std::optional<target_id> next_target(const backend_paths& paths) const;
    void leave_backend(const target_id& target, const backend_name& backend);

    path_limits limits;
    std::mt19937_64 random;
    std::unordered_map<target_id, target_path> targets;
    std::map<backend_name, backend_paths> backends;
};

} // namespace kingcupcart::paths
