#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "base/units.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace kingcupcart::requests {

/// The properties of a request that dispatching depends on; the front end holds its content.
struct request_profile {
    request_id id;
    caller_id caller;
    /// The caller's account; empty without accounts, and for a request that needs none.
    account_name account = {};
    backend_name backend;
    work_class_name work_class;
    /// The request may run more than once without harm.
    bool repeatable = false;
    /// The response is a stream of tokens that another target can continue.
    bool resumable = false;
    /// The response is forwarded to the caller as it arrives.
    bool is_streamed = false;
    /// Another instance may be asked to forward the request if this one is cut off from the
    /// backend.
    bool may_relay = false;
    /// Another instance relays the request. It is not relayed again, and refused at once where it
    /// would have to wait for room.
    bool is_relayed = false;
    /// The run continues when the caller disconnects, because it cannot be undone.
    bool continues_after_disconnect = false;
    std::vector<prefix_hash> prefix;
    /// Size of the prompt; zero if there is none, or if it is unknown.
    tokens prompt;
    /// Time from arrival to the complete response; zero selects the deadline of the work class.
    duration deadline{};
    /// Time from arrival within which the response has its full value; zero if there is no such
    /// time. A request that no permit of a limited target reaches by then is refused.
    duration objective{};
    /// Maximum number of attempts, whatever their cause; 0 selects the dispatcher's maximum, which
    /// is also the upper bound.
    std::size_t max_attempts = 0;
    /// The stream goes on only at targets of this version; empty if any may begin it.
    std::optional<software_version> software;
    /// Equal for requests that count as the same one; empty if the request is not subject to
    /// quarantine, such as an item of a batch job, a score request or a load order.
    std::optional<request_fingerprint> fingerprint;
};

} // namespace kingcupcart::requests
