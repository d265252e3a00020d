#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "base/urgency.h"

#include <cstddef>

namespace kingcupcart::requests {

/// State of one attempt: a request sent to one target, or given to another instance.
struct attempt_state {
    request_id request;
    /// Empty if the attempt is relayed.
    target_id target;
    /// What the target's record said when the request was sent.
    incarnation_id incarnation;
    software_version software;
    urgency kind = urgency::short_work;
    time_point sent;
    time_point last_output;
    tokens resume_after;
    bool has_output = false;
    /// Another instance forwards the request. It counts the attempts at targets and records the
    /// version of a stream.
    bool is_relayed = false;
    /// Targets that the attempt may be sent to; several only if it is relayed.
    std::size_t target_limit = 1;
    /// Transmission has started, and it was the request's first one.
    bool is_written = false;
    bool is_first_written = false;
};

} // namespace kingcupcart::requests
