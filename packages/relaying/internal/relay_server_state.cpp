#include "relaying/internal/relay_server_state.h"

#include "telemetry/metric_set.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <variant>

namespace kingcupcart::relaying {

namespace {

/// Time after which messages that a full link did not take are sent again.
constexpr duration flush_interval = std::chrono::milliseconds(20);

} // namespace

relay_server::shared_state::shared_state(parameters arguments)
    : params(std::move(arguments)),
      cleanup_timer([this] { this->pending_deletion.clear(); }),
      flush_timer([this] { this->flush_stalled(); }),
      cut_timer([this] { this->end_cut_calls(); }),
      idle_timer([this] {
          if (this->open_count() == 0 && this->params.on_idle) {
              this->params.on_idle();
          }
      }) {}

outcome<void> relay_server::shared_state::listen() {
    BOOST_LEAF_ASSIGN(this->listener, wire::listener::open(this->params.address,
                                                           [this](GSocketConnection* connection) {
                                                               this->accept(connection);
                                                           }));
    this->bound = this->listener->address();
    spdlog::info("relay listening address={}", this->address().to_string());
    return {};
}

void relay_server::shared_state::begin_stop() {
    spdlog::info("relay stops calls={} links={}", this->calls.size(), this->links.size());
    this->is_stopping = true;
    this->listener.reset();
    for (const auto& [number, accepted] : this->links) {
        if (accepted.origin != instance_id()) {
            accepted.link->send(wire::relay_stopping{});
        }
    }
}

std::size_t relay_server::shared_state::open_count() const {
    return this->calls.size() + (this->is_stopping ? this->links.size() : 0);
}

void relay_server::shared_state::close() {
    this->listener.reset();
    this->idle_timer.disarm();
    this->flush_timer.disarm();
    this->cut_timer.disarm();
    const auto cancelled = std::exchange(this->calls, {});
    for (const auto& [key, call] : cancelled) {
        call->cancel();
    }
    this->links.clear();
    this->pending_deletion.clear();
}

void relay_server::shared_state::accept(GSocketConnection* connection) {
    const std::uint64_t number = ++this->last_link_number;
    this->links[number].link = wire::peer_link::accept(
        connection, {[this, number] { this->send(number, this->params.make_hello()); },
                     [this, number](wire::message message) {
                         const auto self = this->shared_from_this();
                         if (this->links.contains(number)) {
                             this->receive(number, std::move(message));
                         }
                     },
                     [this, number](const std::string& reason) {
                         const auto self = this->shared_from_this();
                         if (this->links.contains(number)) {
                             this->on_lost(number, reason);
                         }
                     }});
}

void relay_server::shared_state::on_lost(std::uint64_t link, const std::string& reason) {
    std::vector<call_key> lost;
    for (auto at = this->calls.lower_bound({link, 0});
         at != this->calls.end() && at->first.first == link; ++at) {
        lost.push_back(at->first);
    }
    const auto found = this->links.find(link);
    spdlog::info("link of a relayed gateway closed origin={} calls={} reason=\"{}\"",
                 found->second.origin.value(), lost.size(), reason);
    this->pending_deletion.push_back(std::move(found->second.link));
    this->links.erase(found);
    this->cleanup_timer.arm_now();
    for (const call_key& key : lost) {
        if (const call_state call = this->find(key)) {
            this->remove(key);
            call->cancel();
        }
    }
    this->export_metrics();
    this->check_idle();
}

void relay_server::shared_state::receive(std::uint64_t link, wire::message message) {
    if (this->links.at(link).origin == instance_id() &&
        !std::holds_alternative<wire::hello>(message)) {
        this->on_lost(link, "a message before the first one of the link");
        return;
    }
    std::visit(
        [&](auto& alternative) {
            if constexpr (requires { this->on(link, alternative); }) {
                this->on(link, alternative);
            } else {
                spdlog::warn("unexpected message ignored origin={} number={}",
                             this->links.at(link).origin.value(), message.index());
            }
        },
        message);
}

void relay_server::shared_state::on(std::uint64_t link, const wire::hello& hello) {
    this->links.at(link).origin = hello.instance;
    if (this->is_stopping) {
        this->send(link, wire::relay_stopping{});
    }
    spdlog::info("link of a relayed gateway opened origin={}", hello.instance.value());
    this->export_metrics();
}

void relay_server::shared_state::on(std::uint64_t link, wire::relayed_call_request& request) {
    const call_key key(link, request.call);
    const instance_id origin = this->links.at(link).origin;
    if (this->calls.contains(key)) {
        this->on_lost(link, "the number of an open call was used again");
        return;
    }
    const std::size_t running = this->running_count();
    const std::weak_ptr<shared_state> weak = this->weak_from_this();
    const auto created = std::make_shared<relayed_exchange::state>(
        request.call, origin,
        relayed_exchange::state::functions{[weak, link](const wire::message& message) {
                                               const auto server = weak.lock();
                                               return server && server->send(link, message);
                                           },
                                           [weak] {
                                               if (const auto server = weak.lock()) {
                                                   server->flush_timer.arm(
                                                       server->params.time->now() + flush_interval);
                                               }
                                           }});
    this->calls.emplace(key, created);
    if (this->is_stopping) {
        this->refuse(request, created, "the relay is stopping");
    } else if (running >= this->params.max_calls) {
        this->refuse(request, created, "the relay forwards too many calls of other gateways");
    } else {
        if (this->params.budget) {
            created->set_budget(this->params.budget, request.body.size(),
                                [weak, key](const std::string& reason) {
                                    if (const auto server = weak.lock()) {
                                        server->cut(key, reason);
                                    }
                                });
        }
        this->params.on_call(std::move(request), std::make_shared<relayed_exchange>(created));
    }
    this->export_metrics();
}

void relay_server::shared_state::refuse(const wire::relayed_call_request& request,
                                        const call_state& refused, const std::string& reason) {
    spdlog::info("relayed call refused request={} origin={} reason=\"{}\" running={}", request.name,
                 refused->origin().value(), reason, this->running_count());
    this->params.metrics->count("relay_calls_refused_total");
    refused->fail(false, reason, {});
}

void relay_server::shared_state::on(std::uint64_t link,
                                    const wire::relayed_call_cancel& cancelled) {
    const call_key key(link, cancelled.call);
    if (const call_state call = this->find(key)) {
        spdlog::debug("relayed call cancelled origin={} call={}", call->origin().value(),
                      cancelled.call);
        this->remove(key);
        call->cancel();
    }
}

void relay_server::shared_state::on(std::uint64_t link, const wire::relayed_data_taken& taken) {
    const call_key key(link, taken.call);
    if (const call_state call = this->find(key)) {
        call->taken(taken.bytes);
        if (call->is_closed()) {
            this->remove(key);
        }
    }
}

bool relay_server::shared_state::send(std::uint64_t link, const wire::message& message) {
    const auto found = this->links.find(link);
    return found != this->links.end() && found->second.link->send(message);
}

void relay_server::shared_state::flush_stalled() {
    std::vector<call_state> open;
    for (const auto& [key, call] : this->calls) {
        open.push_back(call);
    }
    for (const call_state& call : open) {
        call->flush();
    }
}

void relay_server::shared_state::cut(const call_key& key, const std::string& reason) {
    this->cut_calls.emplace(key, reason);
    this->cut_timer.arm_now();
}

void relay_server::shared_state::end_cut_calls() {
    for (const auto& [key, reason] : std::exchange(this->cut_calls, {})) {
        if (const call_state call = this->find(key)) {
            spdlog::warn("relayed call cut origin={} held_bytes={} reason=\"{}\"",
                         call->origin().value(), call->unsent_bytes(), reason);
            call->discard(reason);
        }
    }
}

void relay_server::shared_state::remove(const call_key& key) {
    this->calls.erase(key);
    this->export_metrics();
    this->check_idle();
}

void relay_server::shared_state::check_idle() {
    if (this->open_count() == 0) {
        this->idle_timer.arm_now();
    }
}

relay_server::shared_state::call_state relay_server::shared_state::find(const call_key& key) const {
    const auto found = this->calls.find(key);
    return found == this->calls.end() ? nullptr : found->second;
}

std::size_t relay_server::shared_state::running_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->calls.begin(), this->calls.end(), [](const auto& entry) {
            return !entry.second->is_ended() || entry.second->unsent_bytes() > 0;
        }));
}

void relay_server::shared_state::export_metrics() {
    this->params.metrics->set("relay_links_accepted", static_cast<double>(this->links.size()));
    this->params.metrics->set("relay_calls_open", static_cast<double>(this->calls.size()));
}

} // namespace kingcupcart::relaying
