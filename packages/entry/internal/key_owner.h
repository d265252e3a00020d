#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "entry/internal/answer_sink.h"
#include "entry/internal/front_message.h"
#include "entry/internal/peers_message.h"
#include "entry/internal/service_request.h"
#include "requests/key_registry.h"
#include "task/sender.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace kingcupcart::entry {

/// The refusal where a key's home, or its memory, is gone.
[[nodiscard]] problem home_lost();

/// Brings keyed requests to their key's home: this instance, or another one over the inner link.
class key_owner {
public:
    /// Runs a request whose home is here.
    using runner = std::function<void(const service_request& request, time_point born,
                                      std::unique_ptr<answer_sink> sink)>;

    key_owner(instance_id here, incarnation_id incarnation, duration key_time,
              task::sender<peers_message> peers, runner run);

    void resolve(service_request request, std::unique_ptr<answer_sink> sink, time_point now);
    void claim_ended(const entry::claim_ended& ended, time_point now);
    void call_ended(wire::forward_call_response answer);

    [[nodiscard]] requests::key_registry& registry() { return this->keys; }

private:
    struct waiting_claim {
        service_request request;
        std::unique_ptr<answer_sink> sink;
    };

    void forward(const service_request& request, const instance_id& owner,
                 incarnation_id incarnation, std::unique_ptr<answer_sink> sink);

    instance_id here;
    incarnation_id incarnation;
    task::sender<peers_message> peers;
    runner run;
    requests::key_registry keys;
    std::unordered_map<std::uint64_t, waiting_claim> claims;
    std::unordered_map<std::uint64_t, std::unique_ptr<answer_sink>> forwarded;
    std::uint64_t last_number = 0;
};

} // namespace kingcupcart::entry
