#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace kingcupcart::admission {

/// A request that waits for free capacity of a target.
struct queued_request {
    request_id id;
    caller_id caller;
    time_point deadline;
    /// Empty if there are no accounts.
    account_name account = {};
};

} // namespace kingcupcart::admission
