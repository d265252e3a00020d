#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "relaying/relay_client.h"
#include "wire/messages.h"

#include <cstdint>
#include <memory>
#include <set>

namespace kingcupcart::relaying {

/// A call in progress, shared by its owner's handle and the client.
class relay_client::call::state {
public:
    std::weak_ptr<shared_state> client;
    /// Without its content once it was sent.
    wire::relayed_call_request request;
    /// Relays that the call must not be sent to.
    std::set<instance_id> passed_over;
    call_callbacks notify;
    time_point started_at{};
    /// The relay that it was sent to; empty before.
    instance_id relay;
    bool has_head = false;
    bool is_paused = false;
    /// Bytes of the body that were delivered and not acknowledged.
    std::uint64_t untaken_bytes = 0;
};

} // namespace kingcupcart::relaying
