#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <cstddef>
#include <vector>

namespace kingcupcart::requests {

/// What the dispatcher has to know of a request; its content stays with the front end.
struct request_profile {
    request_id id;
    caller_id caller;
    backend_name backend;
    work_class_name work_class;
    /// The request may run twice without harm.
    bool repeatable = false;
    /// The answer is a stream of tokens that another target can continue.
    bool resumable = false;
    /// The run goes on when the caller leaves, because it cannot be taken back.
    bool outlives_caller = false;
    std::vector<prefix_hash> prefix;
    /// Time from arrival to the whole answer; zero: that of the class.
    duration deadline{};
    /// Targets that it may be sent to, over all causes; 0: as many as the dispatcher allows.
    std::size_t attempts_max = 0;
};

} // namespace kingcupcart::requests
