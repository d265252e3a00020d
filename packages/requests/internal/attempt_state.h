#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "base/urgency.h"

namespace kingcupcart::requests {

/// State of one attempt: a request sent to one target.
struct attempt_state {
    request_id request;
    target_id target;
    /// What the target's record said when the request was sent.
    incarnation_id incarnation;
    software_version software;
    urgency kind = urgency::short_work;
    time_point sent;
    time_point last_output;
    tokens resume_after;
    bool has_output = false;
};

} // namespace kingcupcart::requests
