#include "entry/internal/peer_sink.h"

#include <utility>

namespace kingcupcart::entry {

peer_sink::peer_sink(instance_id origin, std::uint64_t call_number,
                     task::sender<peers_message> peers)
    : origin(std::move(origin)), call_number(call_number), peers(std::move(peers)) {}

void peer_sink::send(const requests::recorded_response& recorded) {
    wire::forward_call_response response;
    response.call = this->call_number;
    response.status = recorded.status;
    response.outcome = requests::to_string(recorded.outcome);
    response.reason = recorded.reason;
    response.headers = recorded.headers;
    response.body = recorded.body;
    // If the response is lost, the caller gets it by resending the request with the same key.
    static_cast<void>(this->peers.post(send_call_response{this->origin, std::move(response)}));
}

void peer_sink::refuse(const problem& refusal) {
    wire::forward_call_response response;
    response.call = this->call_number;
    response.status = refusal.status;
    response.outcome = requests::to_string(refusal.outcome);
    response.reason = refusal.reason;
    static_cast<void>(this->peers.post(send_call_response{this->origin, std::move(response)}));
}

void peer_sink::on_disconnect(std::function<void()> /*callback*/) {}

} // namespace kingcupcart::entry
