#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "entry/internal/frontend_message.h"
#include "entry/internal/peers_message.h"
#include "entry/internal/response_sink.h"
#include "entry/internal/service_request.h"
#include "requests/key_registry.h"
#include "task/sender.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace kingcupcart::entry {

/// The response if the owner of a key can't be reached or has restarted and lost its records.
[[nodiscard]] problem owner_lost();

/// Routes each request with an idempotency key to the key's owner: this instance, or another one
/// over a link.
class key_owner {
public:
    /// Runs a request whose key this instance owns; `key_created` is when the key was issued or
    /// claimed.
    using runner = std::function<void(const service_request& request, time_point key_created,
                                      std::unique_ptr<response_sink> sink)>;

    key_owner(instance_id local_id, incarnation_id incarnation, duration key_lifetime,
              task::sender<peers_message> peers, runner run);

    void resolve(service_request request, std::unique_ptr<response_sink> sink, time_point now);
    void complete_claim(const entry::claim_completed& completed, time_point now);
    void complete_call(wire::forward_call_response response);

    [[nodiscard]] requests::key_registry& registry() { return this->keys; }

private:
    struct pending_claim {
        service_request request;
        std::unique_ptr<response_sink> sink;
    };

    void forward(const service_request& request, const instance_id& owner,
                 incarnation_id incarnation, std::unique_ptr<response_sink> sink);

    instance_id local_id;
    incarnation_id incarnation;
    task::sender<peers_message> peers;
    runner run;
    requests::key_registry keys;
    std::unordered_map<std::uint64_t, pending_claim> pending_claims;
    std::unordered_map<std::uint64_t, std::unique_ptr<response_sink>> forwarded_calls;
    /// Last number given to a claim or a forwarded call.
    std::uint64_t last_number = 0;
};

} // namespace kingcupcart::entry
