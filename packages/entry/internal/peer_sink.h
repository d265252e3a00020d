#pragma once

#include "base/ids.h"
#include "entry/internal/answer_sink.h"
#include "entry/internal/peers_message.h"
#include "task/sender.h"

#include <cstdint>

namespace kingcupcart::entry {

/// Answers the instance that forwarded a call here because its key's home is here.
class peer_sink final : public answer_sink {
public:
    peer_sink(instance_id origin, std::uint64_t call, task::sender<peers_message> peers);

    void answer(const requests::recorded_answer& answer) override;
    void refuse(const problem& refusal) override;
    /// The origin does not tell when its caller leaves.
    void on_left(std::function<void()> callback) override;

private:
    instance_id origin;
    std::uint64_t call;
    task::sender<peers_message> peers;
};

} // namespace kingcupcart::entry
