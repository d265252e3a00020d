#include "entry/internal/peers.h"

#include "requests/outcome_kind.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace kingcupcart::entry {

namespace {

constexpr duration maintenance_interval = std::chrono::milliseconds(250);
constexpr duration min_backoff = std::chrono::milliseconds(200);
constexpr duration max_backoff = std::chrono::seconds(5);
/// An entry instance of this failure domain that sends nothing for this many target leases is
/// considered down.
constexpr int silence_limit_leases = 1;

wire::forward_call_response unknown_outcome_response(std::uint64_t call) {
    wire::forward_call_response response;
    response.call = call;
    response.outcome = requests::to_string(requests::outcome_kind::unknown);
    response.reason = "home-lost";
    return response;
}

} // namespace

outcome<std::unique_ptr<peers>> peers::open(parameters arguments) {
    std::unique_ptr<peers> created(new peers(std::move(arguments)));
    const settings::entry_settings& entry = *created->params.settings.entry;
    BOOST_LEAF_ASSIGN(created->listener,
                      wire::listener::open(
                          entry.address, [handler = created.get()](GSocketConnection* connection) {
                              handler->accept(connection);
                          }));
    for (const endpoint& address : entry.keepers) {
        created->add_peer(address, wire::instance_role::keeper, false);
    }
    for (const endpoint& address : entry.peers) {
        created->add_peer(address, wire::instance_role::entry, false);
    }
    created->maintain_links();
    return created;
}

peers::peers(parameters arguments)
    : params(std::move(arguments)), maintenance_timer([this] { this->maintain_links(); }) {}

peers::~peers() = default;

void peers::handle(peers_message incoming) {
    std::visit([this](auto& alternative) { this->on(alternative); }, incoming);
}

void peers::add_peer(const endpoint& address, wire::instance_role role, bool is_on_demand) {
    const bool is_local = this->listener && address == this->listener->address();
    if (is_local || this->outbound_links.contains(address)) {
        return;
    }
    outbound_link peer;
    peer.address = address;
    peer.role = role;
    peer.is_on_demand = is_on_demand;
    this->outbound_links.emplace(address, std::move(peer));
    this->dial(this->outbound_links.at(address));
}

void peers::dial(outbound_link& peer) {
    const endpoint address = peer.address;
    peer.link = wire::peer_link::dial(
        address,
        {[this, address] { this->on_link_opened(address); },
         [this, address](wire::message incoming) {
             this->receive_outbound(address, std::move(incoming));
         },
         [this, address](const std::string& reason) { this->on_link_lost(address, reason); }});
}

void peers::on_link_opened(const endpoint& address) {
    outbound_link& peer = this->outbound_links.at(address);
    peer.is_open = true;
    peer.backoff = duration::zero();
    peer.link->send(this->make_hello());
    for (wire::forward_call_request& call : std::exchange(peer.queued_calls, {})) {
        peer.link->send(call);
    }
    if (peer.role == wire::instance_role::keeper) {
        peer.link->send(
            wire::configuration_in_force{this->params.settings.instance, this->in_force});
    }
    static_cast<void>(this->params.frontend.post(peer_link_opened{}));
}

void peers::on_link_lost(const endpoint& address, const std::string& reason) {
    outbound_link& peer = this->outbound_links.at(address);
    if (peer.is_open || peer.backoff == duration::zero()) {
        spdlog::info("link lost address={} instance={} reason=\"{}\"", address.to_string(),
                     peer.instance.value(), reason);
    }
    this->pending_deletion.push_back(std::move(peer.link));
    peer.is_open = false;
    peer.queued_calls.clear();
    this->fail_calls(peer.instance);
    for (auto item = this->pending_claims.begin(); item != this->pending_claims.end();) {
        if (item->second == address) {
            static_cast<void>(
                this->params.frontend.post(claim_completed{item->first, false, {}, {}}));
            item = this->pending_claims.erase(item);
        } else {
            ++item;
        }
    }
    peer.backoff = std::clamp(peer.backoff * 2, min_backoff, max_backoff);
    peer.retry_at = this->params.time->now() + peer.backoff;
}

void peers::maintain_links() {
    const time_point now = this->params.time->now();
    this->pending_deletion.clear();
    std::erase_if(this->outbound_links,
                  [](const auto& item) { return item.second.is_on_demand && !item.second.link; });
    for (auto& [address, peer] : this->outbound_links) {
        if (!peer.link && peer.retry_at <= now) {
            this->dial(peer);
        }
    }
    const duration silence = this->params.settings.entry->target_lease * silence_limit_leases;
    std::erase_if(this->inbound_links, [&](const auto& item) {
        const inbound_link& peer = item.second;
        const bool is_entry = peer.hello.role == wire::instance_role::entry;
        const bool is_same_domain = peer.hello.place == this->params.settings.place;
        return !peer.link || (is_entry && is_same_domain && now - peer.last_received > silence);
    });
    this->report_domain_size();
    this->maintenance_timer.arm(now + maintenance_interval);
}

void peers::accept(GSocketConnection* connection) {
    const std::uint64_t number = ++this->last_inbound_number;
    inbound_link& peer = this->inbound_links[number];
    peer.last_received = this->params.time->now();
    peer.link = wire::peer_link::accept(
        connection,
        {[this, number] { this->inbound_links.at(number).link->send(this->make_hello()); },
         [this, number](wire::message incoming) {
             this->receive_inbound(number, std::move(incoming));
         },
         [this, number](const std::string& reason) {
             spdlog::debug("inbound link closed reason=\"{}\"", reason);
             this->pending_deletion.push_back(std::move(this->inbound_links.at(number).link));
         }});
}

void peers::receive_inbound(std::uint64_t number, wire::message incoming) {
    inbound_link& peer = this->inbound_links.at(number);
    peer.last_received = this->params.time->now();
    if (auto* hello = std::get_if<wire::hello>(&incoming)) {
        peer.hello = *hello;
        this->on_hello(*hello);
        this->send_newer_configuration(*peer.link, hello->in_force);
    } else if (auto* update = std::get_if<wire::target_update>(&incoming)) {
        static_cast<void>(
            this->params.frontend.post(target_update_received{std::move(update->record)}));
    } else if (auto* heartbeats = std::get_if<wire::target_heartbeats>(&incoming)) {
        static_cast<void>(
            this->params.frontend.post(target_heartbeats_received{std::move(heartbeats->targets)}));
    } else if (auto* call = std::get_if<wire::forward_call_request>(&incoming)) {
        static_cast<void>(this->params.frontend.post(
            forwarded_call_received{peer.hello.instance, std::move(*call)}));
    } else if (auto* response = std::get_if<wire::forward_call_response>(&incoming)) {
        this->forwarded_calls.erase(response->call);
        static_cast<void>(
            this->params.frontend.post(forwarded_call_completed{std::move(*response)}));
    }
}

void peers::receive_outbound(const endpoint& address, wire::message incoming) {
    if (const auto* hello = std::get_if<wire::hello>(&incoming)) {
        this->outbound_links.at(address).instance = hello->instance;
        this->on_hello(*hello);
    } else if (auto* configuration = std::get_if<wire::configuration_update>(&incoming)) {
        static_cast<void>(this->params.frontend.post(
            configuration_accepted{configuration->version, std::move(configuration->text)}));
    } else if (auto* update = std::get_if<wire::target_update>(&incoming)) {
        static_cast<void>(
            this->params.frontend.post(target_update_received{std::move(update->record)}));
    } else if (const auto* claim = std::get_if<wire::claim_response>(&incoming)) {
        this->pending_claims.erase(claim->claim);
        static_cast<void>(this->params.frontend.post(
            claim_completed{claim->claim, claim->is_decided, claim->owner, claim->incarnation}));
    } else if (const auto* instance = std::get_if<wire::instance_update>(&incoming)) {
        this->instance_addresses.insert_or_assign(instance->instance.id,
                                                  instance->instance.address);
    }
}

void peers::on_hello(const wire::hello& hello) {
    if (hello.role != wire::instance_role::entry) {
        return;
    }
    this->instance_addresses.insert_or_assign(hello.instance, hello.address);
    if (hello.place != this->params.settings.place) {
        return;
    }
    this->add_peer(hello.address, wire::instance_role::entry, false);
    for (const wire::instance_address& other : hello.known) {
        this->instance_addresses.insert_or_assign(other.id, other.address);
        this->add_peer(other.address, wire::instance_role::entry, false);
    }
}

wire::hello peers::make_hello() const {
    wire::hello hello;
    hello.instance = this->params.settings.instance;
    hello.incarnation = this->params.incarnation;
    hello.place = this->params.settings.place;
    hello.role = wire::instance_role::entry;
    hello.address = this->listener->address();
    hello.in_force = this->in_force;
    for (const auto& [address, peer] : this->outbound_links) {
        if (peer.role == wire::instance_role::entry && peer.is_open && !peer.is_on_demand) {
            hello.known.push_back({peer.instance, address});
        }
    }
    return hello;
}

peers::outbound_link* peers::find_or_dial_instance(const instance_id& instance) {
    const auto known = this->instance_addresses.find(instance);
    if (known == this->instance_addresses.end()) {
        return nullptr;
    }
    if (!this->outbound_links.contains(known->second)) {
        this->add_peer(known->second, wire::instance_role::entry, true);
    }
    outbound_link& peer = this->outbound_links.at(known->second);
    if (!peer.link) {
        this->dial(peer);
    }
    peer.instance = instance;
    return &peer;
}

void peers::on(const broadcast_target& command) {
    const wire::target_update update{command.record};
    this->send_to_domain(update);
    for (auto& [address, peer] : this->outbound_links) {
        if (peer.role == wire::instance_role::keeper && peer.is_open) {
            peer.link->send(update);
        }
    }
}

void peers::on(const send_target_heartbeats& command) {
    this->send_to_domain(wire::target_heartbeats{command.targets});
}

void peers::on(const report_in_force& command) {
    this->in_force = command.version;
    this->in_force_text = command.text;
    for (auto& [address, peer] : this->outbound_links) {
        if (peer.role == wire::instance_role::keeper && peer.is_open) {
            peer.link->send(
                wire::configuration_in_force{this->params.settings.instance, command.version});
        }
    }
}

void peers::send_newer_configuration(wire::peer_link& link,
                                     configuration_version peer_version) const {
    if (peer_version < this->in_force) {
        link.send(wire::configuration_update{this->in_force, this->in_force_text});
    }
}

void peers::on(forward_call& command) {
    outbound_link* peer = this->find_or_dial_instance(command.owner);
    if (peer == nullptr) {
        static_cast<void>(this->params.frontend.post(
            forwarded_call_completed{unknown_outcome_response(command.call.call)}));
        return;
    }
    this->metrics.count("calls_forwarded_total");
    this->forwarded_calls.emplace(command.call.call, command.owner);
    if (!peer->is_open) {
        peer->queued_calls.push_back(std::move(command.call));
    } else if (!peer->link->send(command.call)) {
        this->fail_calls(command.owner);
    }
}

void peers::on(send_call_response& command) {
    outbound_link* peer = this->find_or_dial_instance(command.origin);
    if (peer != nullptr && peer->is_open) {
        peer->link->send(command.response);
        return;
    }
    // The origin lost its own link too and has responded to its caller with an unknown outcome.
    spdlog::warn("response dropped, no open link to the origin origin={} call={}",
                 command.origin.value(), command.response.call);
}

void peers::on(const request_claim& command) {
    wire::claim_request request;
    request.claim = command.claim;
    request.key = command.key;
    request.owner = this->params.settings.instance;
    request.incarnation = this->params.incarnation;
    for (auto& [address, peer] : this->outbound_links) {
        if (peer.role == wire::instance_role::keeper && peer.is_open && peer.link->send(request)) {
            this->pending_claims.emplace(command.claim, address);
            return;
        }
    }
    static_cast<void>(this->params.frontend.post(claim_completed{command.claim, false, {}, {}}));
}

void peers::send_to_domain(const wire::message& outgoing) {
    for (auto& [address, peer] : this->outbound_links) {
        if (peer.role == wire::instance_role::entry && !peer.is_on_demand && peer.is_open) {
            peer.link->send(outgoing);
        }
    }
}

void peers::fail_calls(const instance_id& instance) {
    for (auto item = this->forwarded_calls.begin(); item != this->forwarded_calls.end();) {
        if (item->second == instance) {
            static_cast<void>(this->params.frontend.post(
                forwarded_call_completed{unknown_outcome_response(item->first)}));
            item = this->forwarded_calls.erase(item);
        } else {
            ++item;
        }
    }
}

void peers::report_domain_size() {
    std::set<instance_id> live_instances{this->params.settings.instance};
    for (const auto& [number, peer] : this->inbound_links) {
        const bool is_entry = peer.hello.role == wire::instance_role::entry;
        if (peer.link && is_entry && peer.hello.place == this->params.settings.place) {
            live_instances.insert(peer.hello.instance);
        }
    }
    const int size = static_cast<int>(live_instances.size());
    if (size != this->domain_size) {
        this->domain_size = size;
        static_cast<void>(this->params.frontend.post(domain_size_changed{size}));
    }
}

void peers::on(const admin::report_request& request) {
    nlohmann::ordered_json status = nlohmann::ordered_json::array();
    std::size_t sent = 0;
    std::size_t received = 0;
    int open_keepers = 0;
    for (const auto& [address, peer] : this->outbound_links) {
        nlohmann::ordered_json link_status;
        link_status["instance"] = peer.instance.value();
        link_status["address"] = address.to_string();
        link_status["role"] = peer.role == wire::instance_role::keeper ? "keeper" : "entry";
        link_status["open"] = peer.is_open;
        status.push_back(std::move(link_status));
        if (peer.link) {
            sent += peer.link->bytes_sent();
            received += peer.link->bytes_received();
        }
        open_keepers += peer.is_open && peer.role == wire::instance_role::keeper ? 1 : 0;
    }
    for (const auto& [number, peer] : this->inbound_links) {
        if (peer.link) {
            sent += peer.link->bytes_sent();
            received += peer.link->bytes_received();
        }
    }
    this->metrics.set("link_bytes_sent", static_cast<double>(sent));
    this->metrics.set("link_bytes_received", static_cast<double>(received));
    this->metrics.set("domain_instances", this->domain_size);
    this->metrics.set("keeper_links_open", open_keepers);
    admin::report report;
    report.component = "peers";
    report.status = status.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    report.metrics = this->metrics.exposition();
    report.is_ready = true;
    static_cast<void>(request.reply.post(std::move(report)));
}

} // namespace kingcupcart::entry
