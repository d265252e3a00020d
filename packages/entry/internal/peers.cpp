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

constexpr duration tend_interval = std::chrono::milliseconds(250);
constexpr duration backoff_first = std::chrono::milliseconds(200);
constexpr duration backoff_max = std::chrono::seconds(5);
/// An instance of the domain that is silent for this many leases is taken for gone.
constexpr int silent_leases = 1;

wire::forward_call_response no_answer(std::uint64_t call) {
    wire::forward_call_response answer;
    answer.call = call;
    answer.outcome = requests::to_string(requests::outcome_kind::unknown);
    answer.reason = "home-lost";
    return answer;
}

} // namespace

outcome<std::unique_ptr<peers>> peers::open(parameters arguments) {
    std::unique_ptr<peers> made(new peers(std::move(arguments)));
    const settings::entry_settings& entry = *made->params.settings.entry;
    BOOST_LEAF_ASSIGN(
        made->listener,
        wire::listener::open(entry.address, [self = made.get()](GSocketConnection* connection) {
            self->accept(connection);
        }));
    for (const endpoint& address : entry.keepers) {
        made->add_peer(address, wire::instance_role::keeper, false);
    }
    for (const endpoint& address : entry.peers) {
        made->add_peer(address, wire::instance_role::entry, false);
    }
    made->tend_links();
    return made;
}

peers::peers(parameters arguments)
    : params(std::move(arguments)), maintenance_timer([this] { this->tend_links(); }) {}

peers::~peers() = default;

void peers::handle(peers_message incoming) {
    std::visit([this](auto& alternative) { this->on(alternative); }, incoming);
}

void peers::add_peer(const endpoint& address, wire::instance_role role, bool is_on_demand) {
    const bool is_self = this->listener && address == this->listener->address();
    if (is_self || this->dialled.contains(address)) {
        return;
    }
    outbound peer;
    peer.address = address;
    peer.role = role;
    peer.is_on_demand = is_on_demand;
    this->dialled.emplace(address, std::move(peer));
    this->dial(this->dialled.at(address));
}

void peers::dial(outbound& peer) {
    const endpoint address = peer.address;
    peer.link = wire::peer_link::dial(
        address,
        {[this, address] { this->opened(address); },
         [this, address](wire::message said) { this->receive_outbound(address, std::move(said)); },
         [this, address](const std::string& reason) { this->lost(address, reason); }});
}

void peers::opened(const endpoint& address) {
    outbound& peer = this->dialled.at(address);
    peer.is_open = true;
    peer.backoff = duration::zero();
    peer.link->send(this->make_hello());
    for (wire::forward_call_request& call : std::exchange(peer.waiting, {})) {
        peer.link->send(call);
    }
    if (peer.role == wire::instance_role::keeper) {
        peer.link->send(
            wire::configuration_in_force{this->params.settings.instance, this->in_force});
    }
    static_cast<void>(this->params.front.post(peer_joined{}));
}

void peers::lost(const endpoint& address, const std::string& reason) {
    outbound& peer = this->dialled.at(address);
    if (peer.is_open || peer.backoff == duration::zero()) {
        spdlog::info("link lost address={} instance={} reason=\"{}\"", address.to_string(),
                     peer.instance.value(), reason);
    }
    this->retired.push_back(std::move(peer.link));
    peer.is_open = false;
    peer.waiting.clear();
    this->fail_calls(peer.instance);
    for (auto item = this->claims.begin(); item != this->claims.end();) {
        if (item->second == address) {
            static_cast<void>(this->params.front.post(claim_ended{item->first, false, {}, {}}));
            item = this->claims.erase(item);
        } else {
            ++item;
        }
    }
    peer.backoff = std::clamp(peer.backoff * 2, backoff_first, backoff_max);
    peer.retry_at = this->params.time->now() + peer.backoff;
}

void peers::tend_links() {
    const time_point now = this->params.time->now();
    this->retired.clear();
    std::erase_if(this->dialled,
                  [](const auto& item) { return item.second.is_on_demand && !item.second.link; });
    for (auto& [address, peer] : this->dialled) {
        if (!peer.link && peer.retry_at <= now) {
            this->dial(peer);
        }
    }
    const duration silence = this->params.settings.entry->target_lease * silent_leases;
    std::erase_if(this->accepted, [&](const auto& item) {
        const inbound& peer = item.second;
        const bool is_entry = peer.hello.role == wire::instance_role::entry;
        const bool is_own = peer.hello.place == this->params.settings.place;
        return !peer.link || (is_entry && is_own && now - peer.last_heard > silence);
    });
    this->report_domain_size();
    this->maintenance_timer.arm(now + tend_interval);
}

void peers::accept(GSocketConnection* connection) {
    const std::uint64_t number = ++this->last_accepted;
    inbound& peer = this->accepted[number];
    peer.last_heard = this->params.time->now();
    peer.link = wire::peer_link::accept(
        connection,
        {[this, number] { this->accepted.at(number).link->send(this->make_hello()); },
         [this, number](wire::message said) { this->receive_inbound(number, std::move(said)); },
         [this, number](const std::string& reason) {
             spdlog::debug("inbound link ended reason=\"{}\"", reason);
             this->retired.push_back(std::move(this->accepted.at(number).link));
         }});
}

void peers::receive_inbound(std::uint64_t number, wire::message said) {
    inbound& peer = this->accepted.at(number);
    peer.last_heard = this->params.time->now();
    if (auto* greeting = std::get_if<wire::hello>(&said)) {
        peer.hello = *greeting;
        this->on_hello(*greeting);
        this->offer_configuration(*peer.link, greeting->in_force);
    } else if (auto* news = std::get_if<wire::target_update>(&said)) {
        static_cast<void>(this->params.front.post(target_update_received{std::move(news->record)}));
    } else if (auto* vouched = std::get_if<wire::target_heartbeats>(&said)) {
        static_cast<void>(
            this->params.front.post(target_heartbeats_received{std::move(vouched->targets)}));
    } else if (auto* call = std::get_if<wire::forward_call_request>(&said)) {
        static_cast<void>(
            this->params.front.post(peer_call_arrived{peer.hello.instance, std::move(*call)}));
    } else if (auto* answer = std::get_if<wire::forward_call_response>(&said)) {
        this->forwarded.erase(answer->call);
        static_cast<void>(this->params.front.post(peer_call_ended{std::move(*answer)}));
    }
}

void peers::receive_outbound(const endpoint& address, wire::message said) {
    if (const auto* greeting = std::get_if<wire::hello>(&said)) {
        this->dialled.at(address).instance = greeting->instance;
        this->on_hello(*greeting);
    } else if (auto* configuration = std::get_if<wire::configuration_update>(&said)) {
        static_cast<void>(this->params.front.post(
            configuration_accepted{configuration->version, std::move(configuration->text)}));
    } else if (auto* news = std::get_if<wire::target_update>(&said)) {
        static_cast<void>(this->params.front.post(target_update_received{std::move(news->record)}));
    } else if (const auto* claim = std::get_if<wire::claim_response>(&said)) {
        this->claims.erase(claim->claim);
        static_cast<void>(this->params.front.post(
            claim_ended{claim->claim, claim->is_decided, claim->owner, claim->incarnation}));
    } else if (const auto* instance = std::get_if<wire::instance_update>(&said)) {
        this->addresses.insert_or_assign(instance->instance.id, instance->instance.address);
    }
}

void peers::on_hello(const wire::hello& said) {
    if (said.role != wire::instance_role::entry) {
        return;
    }
    this->addresses.insert_or_assign(said.instance, said.address);
    if (said.place != this->params.settings.place) {
        return;
    }
    this->add_peer(said.address, wire::instance_role::entry, false);
    for (const wire::instance_address& other : said.known) {
        this->addresses.insert_or_assign(other.id, other.address);
        this->add_peer(other.address, wire::instance_role::entry, false);
    }
}

wire::hello peers::make_hello() const {
    wire::hello said;
    said.instance = this->params.settings.instance;
    said.incarnation = this->params.incarnation;
    said.place = this->params.settings.place;
    said.role = wire::instance_role::entry;
    said.address = this->listener->address();
    said.in_force = this->in_force;
    for (const auto& [address, peer] : this->dialled) {
        if (peer.role == wire::instance_role::entry && peer.is_open && !peer.is_on_demand) {
            said.known.push_back({peer.instance, address});
        }
    }
    return said;
}

peers::outbound* peers::find_instance(const instance_id& instance) {
    const auto known = this->addresses.find(instance);
    if (known == this->addresses.end()) {
        return nullptr;
    }
    if (!this->dialled.contains(known->second)) {
        this->add_peer(known->second, wire::instance_role::entry, true);
    }
    outbound& peer = this->dialled.at(known->second);
    if (!peer.link) {
        this->dial(peer);
    }
    peer.instance = instance;
    return &peer;
}

void peers::on(const share_target& shared) {
    const wire::target_update news{shared.record};
    this->send_to_domain(news);
    for (auto& [address, peer] : this->dialled) {
        if (peer.role == wire::instance_role::keeper && peer.is_open) {
            peer.link->send(news);
        }
    }
}

void peers::on(const send_target_heartbeats& vouched) {
    this->send_to_domain(wire::target_heartbeats{vouched.targets});
}

void peers::on(const report_in_force& told) {
    this->in_force = told.version;
    this->in_force_text = told.text;
    for (auto& [address, peer] : this->dialled) {
        if (peer.role == wire::instance_role::keeper && peer.is_open) {
            peer.link->send(
                wire::configuration_in_force{this->params.settings.instance, told.version});
        }
    }
}

void peers::offer_configuration(wire::peer_link& link, configuration_version known) const {
    if (known < this->in_force) {
        link.send(wire::configuration_update{this->in_force, this->in_force_text});
    }
}

void peers::on(forward_call& forwarded) {
    outbound* peer = this->find_instance(forwarded.owner);
    if (peer == nullptr) {
        static_cast<void>(this->params.front.post(peer_call_ended{no_answer(forwarded.call.call)}));
        return;
    }
    this->metrics.count("calls_forwarded_total");
    this->forwarded.emplace(forwarded.call.call, forwarded.owner);
    if (!peer->is_open) {
        peer->waiting.push_back(std::move(forwarded.call));
    } else if (!peer->link->send(forwarded.call)) {
        this->fail_calls(forwarded.owner);
    }
}

void peers::on(answer_call& answered) {
    outbound* peer = this->find_instance(answered.origin);
    if (peer != nullptr && peer->is_open) {
        peer->link->send(answered.answer);
        return;
    }
    // The origin's own link was lost: it has told its caller that the outcome is unknown.
    spdlog::warn("answer undeliverable origin={} call={}", answered.origin.value(),
                 answered.answer.call);
}

void peers::on(const ask_claim& asked) {
    wire::claim_request wanted;
    wanted.claim = asked.claim;
    wanted.key = asked.key;
    wanted.owner = this->params.settings.instance;
    wanted.incarnation = this->params.incarnation;
    for (auto& [address, peer] : this->dialled) {
        if (peer.role == wire::instance_role::keeper && peer.is_open && peer.link->send(wanted)) {
            this->claims.emplace(asked.claim, address);
            return;
        }
    }
    static_cast<void>(this->params.front.post(claim_ended{asked.claim, false, {}, {}}));
}

void peers::send_to_domain(const wire::message& outgoing) {
    for (auto& [address, peer] : this->dialled) {
        if (peer.role == wire::instance_role::entry && !peer.is_on_demand && peer.is_open) {
            peer.link->send(outgoing);
        }
    }
}

void peers::fail_calls(const instance_id& instance) {
    for (auto item = this->forwarded.begin(); item != this->forwarded.end();) {
        if (item->second == instance) {
            static_cast<void>(this->params.front.post(peer_call_ended{no_answer(item->first)}));
            item = this->forwarded.erase(item);
        } else {
            ++item;
        }
    }
}

void peers::report_domain_size() {
    std::set<instance_id> living{this->params.settings.instance};
    for (const auto& [number, peer] : this->accepted) {
        const bool is_entry = peer.hello.role == wire::instance_role::entry;
        if (peer.link && is_entry && peer.hello.place == this->params.settings.place) {
            living.insert(peer.hello.instance);
        }
    }
    const int size = static_cast<int>(living.size());
    if (size != this->domain_size) {
        this->domain_size = size;
        static_cast<void>(this->params.front.post(domain_size_changed{size}));
    }
}

void peers::on(const admin::report_request& asked) {
    nlohmann::ordered_json status = nlohmann::ordered_json::array();
    std::size_t sent = 0;
    std::size_t received = 0;
    int open_keepers = 0;
    for (const auto& [address, peer] : this->dialled) {
        nlohmann::ordered_json one;
        one["instance"] = peer.instance.value();
        one["address"] = address.to_string();
        one["role"] = peer.role == wire::instance_role::keeper ? "keeper" : "entry";
        one["open"] = peer.is_open;
        status.push_back(std::move(one));
        if (peer.link) {
            sent += peer.link->bytes_sent();
            received += peer.link->bytes_received();
        }
        open_keepers += peer.is_open && peer.role == wire::instance_role::keeper ? 1 : 0;
    }
    for (const auto& [number, peer] : this->accepted) {
        if (peer.link) {
            sent += peer.link->bytes_sent();
            received += peer.link->bytes_received();
        }
    }
    this->metrics.set("link_bytes_sent", static_cast<double>(sent));
    this->metrics.set("link_bytes_received", static_cast<double>(received));
    this->metrics.set("domain_instances", this->domain_size);
    this->metrics.set("keeper_links_open", open_keepers);
    admin::report said;
    said.part = "peers";
    said.status = status.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    said.metrics = this->metrics.exposition();
    said.is_ready = true;
    static_cast<void>(asked.reply.post(std::move(said)));
}

} // namespace kingcupcart::entry
