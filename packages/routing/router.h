#pragma once

#include "base/clock.h"
#include "base/units.h"
#include "permits/permit_account.h"
#include "routing/load_report.h"
#include "routing/long_work_surplus.h"
#include "routing/route_choice.h"
#include "routing/route_query.h"
#include "routing/router_limits.h"
#include "routing/target_profile.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace kingcupcart::routing {

/// Chooses the target of each request. A state machine without I/O: the caller records what it
/// sends and receives and passes the current time, and the router opens no socket and reads no
/// clock.
class router {
public:
    router(location local_location, router_limits limits, std::uint64_t seed);
    ~router();
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Adds a target or updates its profile.
    void update_target(const target_profile& profile);
    void remove_target(const target_id& target);
    /// Discards the health observations of a target that was restarted.
    void reset_target(const target_id& target);
    /// Number of instances that route to this domain's targets; at least 1. The load of this
    /// instance is taken as typical of each of them.
    void set_instances(int count);
    /// The permits that limited targets need. `permits` has to outlive the router.
    void set_permits(const permits::permit_account* permits);

    [[nodiscard]] route_choice choose(const route_query& query, time_point now);

    /// Targets reserved for short work on which this instance runs more long work than their
    /// limit.
    [[nodiscard]] std::vector<long_work_surplus> find_long_work_surplus(const backend_name& backend,
                                                                        time_point now) const;

    /// `prompt` is what the target has to read before the first output.
    void record_sent(const target_id& target, urgency kind, time_point now, tokens prompt = {});
    /// `sent` is the time that was passed to `record_sent`.
    void record_first_output(const target_id& target, urgency kind, time_point sent,
                             time_point now);
    void record_progress(const target_id& target, urgency kind, tokens produced, duration elapsed);
    /// Records the end of an attempt. `had_output` is true if `record_first_output` was called for
    /// it.
    void record_finished(const target_id& target, urgency kind, time_point sent, bool had_output,
                         time_point now);
    /// Records that the target refused a connection or that the connection broke.
    void record_failed(const target_id& target, time_point now);
    void record_load_report(const target_id& target, load_report report);
    void record_cached(const target_id& target, const std::vector<prefix_hash>& blocks,
                       time_point now);

    /// Median time to first output of the pool; zero before the first observation.
    [[nodiscard]] duration expected_first_output(const backend_name& backend, urgency kind) const;
    /// Time that the backend's targets take to read the prompt; zero before it is known.
    [[nodiscard]] duration expected_reading_time(const backend_name& backend, tokens prompt) const;
    /// Median time between two tokens of a short-work stream; zero before the first observation.
    [[nodiscard]] duration expected_interval(const backend_name& backend) const;
    /// The limited targets of the backend that could take the request with a permit. Empty if an
    /// unlimited one could take it too, as soon as it has room.
    [[nodiscard]] std::vector<target_id> find_only_limited(const route_query& query) const;
    /// Whether the backend's targets that take requests are of several versions.
    [[nodiscard]] bool has_several_versions(const backend_name& backend) const;
    /// Whether any target could take the request, now or as soon as it has room or a permit.
    [[nodiscard]] bool has_target(const route_query& query) const;
    /// Whether long work could go on from this target, which is reserved for short work, to another
    /// one of the same distance, now or as soon as it has room: one that is not reserved, or any if
    /// all are.
    [[nodiscard]] bool can_leave_reserve(const target_id& target, const route_query& query,
                                         time_point now) const;
    /// Empty if the target is unknown.
    [[nodiscard]] backend_name backend_of(const target_id& target) const;
    [[nodiscard]] std::size_t target_count(const backend_name& backend) const;
    /// Number of this instance's requests that run on the target.
    [[nodiscard]] int running_on(const target_id& target) const;

private:
    class state;
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::routing
