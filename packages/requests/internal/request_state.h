#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "base/urgency.h"
#include "requests/request_profile.h"

#include <optional>
#include <vector>

namespace kingcupcart::requests {

/// A request that runs or waits.
struct request_state {
    request_profile profile;
    urgency kind = urgency::short_work;
    time_point deadline;
    /// Attempts that have not ended.
    std::vector<attempt_id> active_attempts;
    std::vector<target_id> tried_targets;
    /// The attempt whose output goes to the caller.
    std::optional<attempt_id> selected;
    /// Tokens that went to the caller.
    tokens delivered_tokens;
    time_point last_output;
    std::size_t attempt_count = 0;
    bool queued = false;
    /// Waits because it was moved away from a target that short work needed.
    bool preempted = false;
    /// Something of the request was handed to a socket.
    bool write_started = false;
    /// The callers were told `unknown`, and the run goes on.
    bool reported_unknown = false;

    [[nodiscard]] bool can_retry() const {
        return this->profile.repeatable || !this->write_started;
    }
};

} // namespace kingcupcart::requests
