#include "entry/internal/peer_sink.h"

#include <utility>

namespace kingcupcart::entry {

peer_sink::peer_sink(instance_id origin, std::uint64_t call, task::sender<peers_message> peers)
    : origin(std::move(origin)), call(call), peers(std::move(peers)) {}

void peer_sink::answer(const requests::recorded_answer& answer) {
    wire::forward_call_response said;
    said.call = this->call;
    said.status = answer.status;
    said.outcome = requests::to_string(answer.outcome);
    said.reason = answer.reason;
    said.headers = answer.headers;
    said.body = answer.body;
    // A lost answer is asked for again by a resend with the same key.
    static_cast<void>(this->peers.post(answer_call{this->origin, std::move(said)}));
}

void peer_sink::refuse(const problem& refusal) {
    wire::forward_call_response said;
    said.call = this->call;
    said.status = refusal.status;
    said.outcome = requests::to_string(refusal.outcome);
    said.reason = refusal.reason;
    static_cast<void>(this->peers.post(answer_call{this->origin, std::move(said)}));
}

void peer_sink::on_left(std::function<void()> /*callback*/) {}

} // namespace kingcupcart::entry
