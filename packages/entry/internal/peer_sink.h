#pragma once

#include "base/ids.h"
#include "entry/internal/peers_message.h"
#include "entry/internal/response_sink.h"
#include "task/sender.h"

#include <cstdint>

namespace kingcupcart::entry {

/// Sends the response to the instance that forwarded the call to this one, the owner of its key.
class peer_sink final : public response_sink {
public:
    peer_sink(instance_id origin, std::uint64_t call_number, task::sender<peers_message> peers);

    void send(const requests::recorded_response& recorded) override;
    void refuse(const problem& refusal) override;
    /// Does nothing: the origin doesn't report when its caller disconnects.
    void on_disconnect(std::function<void()> callback) override;

private:
    instance_id origin;
    std::uint64_t call_number;
    task::sender<peers_message> peers;
};

} // namespace kingcupcart::entry
