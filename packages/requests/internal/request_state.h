#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "base/urgency.h"
#include "requests/actions.h"
#include "requests/request_profile.h"

#include <optional>
#include <vector>

namespace kingcupcart::requests {

/// State of a running or queued request.
struct request_state {
    request_profile profile;
    urgency kind = urgency::short_work;
    time_point deadline;
    /// The deadline before a planned stop shortened it.
    time_point requested_deadline;
    /// Attempts that are running, oldest first.
    std::vector<attempt_id> active_attempts;
    std::vector<target_id> tried_targets;
    /// The attempt whose output goes to the caller.
    std::optional<attempt_id> selected;
    /// Number of tokens that were sent to the caller.
    tokens delivered_tokens;
    time_point last_output;
    /// The caller reads the stream slowly, so that the target has to wait.
    bool is_paused = false;
    /// Latest time for an attempt on a limited target.
    time_point permit_due;
    /// The limited target whose permit the request is to get; empty if it needs none.
    std::optional<target_id> awaited_target;
    /// The cause of the attempt that is held until the crash account permits it; empty if none is.
    std::optional<send_cause> held;
    /// The version that the rest of the stream has to come from; empty if any may serve.
    std::optional<software_version> software;
    /// An event of the stream was passed on.
    bool is_bound = false;
    std::size_t attempt_count = 0;
    /// Attempts that certainly reached no target, and among them those whose connection was not
    /// established.
    std::size_t unsent_count = 0;
    std::size_t unreachable_count = 0;
    /// Attempts that were given to other instances.
    std::size_t relay_count = 0;
    bool queued = false;
    /// Queued because its attempt was preempted on a target that short work needed.
    bool preempted = false;
    /// Transmission of the request to a target has started.
    bool write_started = false;
    /// The callers received the outcome `unknown`, and the run continues.
    bool reported_unknown = false;

    /// Number of attempts that may have reached a target.
    [[nodiscard]] std::size_t sent_count() const {
        return this->attempt_count - this->unsent_count;
    }
    [[nodiscard]] bool can_retry() const {
        return this->profile.repeatable || !this->write_started;
    }
};

} // namespace kingcupcart::requests
