#include "relaying/internal/relay_client_state.h"
#include "relaying/internal/relayed_call.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <utility>
#include <variant>

/// What the relays send.
namespace kingcupcart::relaying {

namespace {

/// The data that was delivered is acknowledged in steps of this size.
constexpr std::uint64_t acknowledged_bytes = 8UL * 1024;

} // namespace

void relay_client::shared_state::receive(const instance_id& relay, wire::message message) {
    if (!std::holds_alternative<wire::hello>(message) && !this->links.at(relay).is_open) {
        this->on_lost(relay, "a message before the first one of the link");
        return;
    }
    std::visit(
        [&](const auto& alternative) {
            if constexpr (requires { this->on(relay, alternative); }) {
                this->on(relay, alternative);
            } else {
                spdlog::warn("unexpected message ignored relay={} number={}", relay.value(),
                             message.index());
            }
        },
        message);
}

void relay_client::shared_state::on(const instance_id& relay, const wire::hello& hello) {
    // Another instance may have started at the address.
    if (hello.instance != relay) {
        this->on_lost(relay, "the address is that of " + hello.instance.value());
        return;
    }
    spdlog::info("relay link opened relay={}", relay.value());
    this->links.at(relay).is_open = true;
    this->links.at(relay).revision = hello.revision;
    this->choice.link_opened(relay, this->params.time->now());
    this->count_links();
    this->run_now.arm_now();
}

void relay_client::shared_state::on(const instance_id& relay,
                                    const wire::relayed_response_head& head) {
    if (const call_state call = this->find_call(relay, head.call)) {
        call->has_head = true;
        this->choice.call_accepted(relay, call->request.backend);
        call->notify.on_head({head.status, head.content_type, head.headers}, head.is_stream);
    }
}

void relay_client::shared_state::on(const instance_id& relay,
                                    const wire::relayed_response_data& data) {
    const call_state call = this->find_call(relay, data.call);
    if (!call) {
        return;
    }
    call->untaken_bytes += data.data.size();
    call->notify.on_data(data.data);
    if (this->is_open(call) && !call->is_paused && call->untaken_bytes >= acknowledged_bytes) {
        this->acknowledge(*call);
    }
}

void relay_client::shared_state::on(const instance_id& relay,
                                    const wire::relayed_response_end& end) {
    if (const call_state call = this->find_call(relay, end.call)) {
        this->notify_relay(this->links.at(relay), wire::relayed_data_taken{end.call, 0});
        if (call->has_head) {
            this->finish(call, relay_result::complete, "");
        } else {
            this->finish(call, relay_result::broken, "the relay sent an end without a head");
        }
    }
}

void relay_client::shared_state::on(const instance_id& relay,
                                    const wire::relayed_call_failure& failure) {
    const call_state call = this->find_call(relay, failure.call);
    if (!call) {
        return;
    }
    this->notify_relay(this->links.at(relay), wire::relayed_data_taken{failure.call, 0});
    const bool is_declined = !failure.may_have_run && !call->has_head;
    if (is_declined && !failure.concerns_call) {
        this->choice.call_refused(relay, call->request.backend, this->params.time->now());
    }
    this->finish(call, is_declined ? relay_result::declined : relay_result::broken, failure.reason,
                 failure.retry_after);
}

void relay_client::shared_state::on(const instance_id& relay,
                                    const wire::relay_stopping& /*stopping*/) {
    spdlog::info("relay is stopping relay={}", relay.value());
    this->choice.link_stopping(relay, this->params.time->now());
    this->run_now.arm_now();
}

void relay_client::shared_state::acknowledge(call::state& received) {
    const auto found = this->links.find(received.relay);
    if (received.untaken_bytes == 0 || found == this->links.end()) {
        return;
    }
    this->notify_relay(
        found->second,
        wire::relayed_data_taken{received.request.call, std::exchange(received.untaken_bytes, 0)});
}

} // namespace kingcupcart::relaying
