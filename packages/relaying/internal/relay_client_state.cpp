#include "relaying/internal/relay_client_state.h"

#include "base/stable_hash.h"
#include "relaying/internal/relayed_call.h"
#include "telemetry/metric_set.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace kingcupcart::relaying {

namespace {

/// A link that is not open by then is given up. Above two round trips between regions.
constexpr duration dial_timeout = std::chrono::milliseconds(300);
/// A call that no relay could be had for by then ends: two dials one after the other.
constexpr duration max_link_wait = std::chrono::milliseconds(700);
/// Calls with more than this in headers and body are not relayed: a link takes no message when more
/// bytes than this are unsent.
constexpr std::size_t max_request_bytes = wire::peer_link::max_unsent_bytes;
/// Time after which messages that a full link did not take are sent again.
constexpr duration flush_interval = std::chrono::milliseconds(20);
/// Keepers are asked again for relays after this time, earlier if few or none of them can be used.
constexpr duration max_answer_age = std::chrono::seconds(30);
constexpr duration max_scarce_age = std::chrono::seconds(1);
constexpr duration max_exhausted_age = std::chrono::milliseconds(300);

std::size_t size_of(const wire::relayed_call_request& request) {
    std::size_t size = request.path.size() + request.body.size();
    for (const header_field& header : request.headers) {
        size += header.name.size() + header.value.size();
    }
    return size;
}

} // namespace

relay_client::shared_state::shared_state(parameters arguments)
    : params(std::move(arguments)),
      choice(this->params.place, {}, stable_hash(this->params.self.value())),
      lookups(this->params.ask_keeper),
      run_now([this] { this->run(); }),
      run_timer([this] { this->run(); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {}

void relay_client::shared_state::add(const call_state& added) {
    added->request.call = ++this->last_call_number;
    added->started_at = this->params.time->now();
    this->calls.emplace(added->request.call, added);
    this->run_now.arm_now();
}

void relay_client::shared_state::cancel(const call_state& cancelled) {
    if (this->calls.erase(cancelled->request.call) == 0 || cancelled->relay == instance_id()) {
        return;
    }
    this->choice.call_ended(cancelled->relay, this->params.time->now());
    const auto found = this->links.find(cancelled->relay);
    if (found != this->links.end()) {
        this->notify_relay(found->second, wire::relayed_call_cancel{cancelled->request.call});
    }
    spdlog::debug("relayed call cancelled request={} relay={}", cancelled->request.name,
                  cancelled->relay.value());
    this->run_now.arm_now();
}

void relay_client::shared_state::set_paused(const call_state& changed, bool is_paused) {
    changed->is_paused = is_paused;
    if (!is_paused && this->is_open(changed)) {
        this->acknowledge(*changed);
    }
}

relay_lookups::state relay_client::shared_state::refresh(const backend_name& backend) {
    const time_point now = this->params.time->now();
    const bool is_scarce = this->choice.is_scarce(backend, now);
    return this->lookups.refresh(backend, is_scarce ? max_scarce_age : max_answer_age, now);
}

void relay_client::shared_state::prepare(const backend_name& backend) {
    this->refresh(backend);
    this->open_links(backend, {});
    this->schedule();
}

void relay_client::shared_state::handle(const wire::relay_lookup_response& response) {
    const auto backend = this->lookups.handle(response, this->params.time->now());
    if (!backend) {
        return;
    }
    std::vector<relays::relay> candidates;
    for (const wire::relay_candidate& candidate : response.candidates) {
        if (candidate.id != this->params.self) {
            candidates.push_back({candidate.id, candidate.place});
            this->addresses.insert_or_assign(candidate.id, candidate.address);
        }
    }
    this->choice.set_candidates(*backend, candidates);
    this->open_links(*backend, {});
    this->run_now.arm_now();
}

void relay_client::shared_state::close() {
    this->run_now.disarm();
    this->run_timer.disarm();
    this->calls.clear();
    this->links.clear();
    this->pending_deletion.clear();
}

void relay_client::shared_state::run() {
    const auto self = this->shared_from_this();
    const time_point now = this->params.time->now();
    std::vector<instance_id> hanging;
    for (auto& [relay, link] : this->links) {
        if (!link.is_open && link.deadline <= now) {
            hanging.push_back(relay);
        }
        send_waiting(link);
    }
    for (const instance_id& relay : hanging) {
        this->on_lost(relay, "not open in time");
    }
    for (const instance_id& relay : this->choice.idle_links(now)) {
        spdlog::info("relay link closed relay={} reason=\"no calls\"", relay.value());
        this->choice.link_closed(relay);
        this->close_link(relay);
    }
    std::vector<call_state> unsent;
    for (const auto& [number, call] : this->calls) {
        if (call->relay == instance_id()) {
            unsent.push_back(call);
        }
    }
    for (const call_state& call : unsent) {
        // A callback of an earlier one may have cancelled it.
        if (this->is_open(call)) {
            this->try_send(call);
        }
    }
    this->schedule();
}

void relay_client::shared_state::schedule() {
    std::optional<time_point> next = this->choice.next_idle();
    const auto consider = [&](time_point due) { next = next ? std::min(*next, due) : due; };
    for (const auto& [relay, link] : this->links) {
        if (!link.is_open) {
            consider(link.deadline);
        }
        if (!link.waiting.empty()) {
            consider(this->params.time->now() + flush_interval);
        }
    }
    for (const auto& [number, call] : this->calls) {
        if (call->relay == instance_id()) {
            consider(call->started_at + std::min<duration>(max_link_wait, call->request.max_wait));
            const auto lookup = this->lookups.next(call->request.backend, max_exhausted_age);
            // One that is overdue waits for the links that are being opened.
            if (lookup && *lookup > this->params.time->now()) {
                consider(*lookup);
            }
        }
    }
    if (next) {
        this->run_timer.arm(*next);
    }
}

void relay_client::shared_state::try_send(const call_state& unsent) {
    const backend_name& backend = unsent->request.backend;
    const time_point now = this->params.time->now();
    const duration waited = now - unsent->started_at;
    if (size_of(unsent->request) > max_request_bytes) {
        this->finish(unsent, relay_result::no_relay, "the request is larger than a link takes");
        return;
    }
    if (waited >= max_link_wait || waited >= unsent->request.max_wait) {
        this->finish(unsent, relay_result::no_relay, "no relay could be reached in time");
        return;
    }
    const auto lookup = this->refresh(backend);
    while (const auto relay = this->choice.choose(backend, unsent->passed_over, now)) {
        if (this->send(unsent, *relay)) {
            return;
        }
        unsent->passed_over.insert(*relay);
    }
    const bool is_dialling = this->open_links(backend, unsent->passed_over);
    if (is_dialling || lookup == relay_lookups::state::asked) {
        return;
    }
    switch (this->lookups.refresh(backend, max_exhausted_age, now)) {
    case relay_lookups::state::asked:
        return;
    case relay_lookups::state::answered:
        // Those that are known refuse or were lost; a keeper may know others soon.
        if (!this->choice.has_candidates(backend, unsent->passed_over)) {
            this->finish(unsent, relay_result::no_relay, "no other relay is known");
        }
        return;
    case relay_lookups::state::unavailable:
        this->finish(unsent, relay_result::no_relay, "no keeper could be asked for relays");
        return;
    }
}

bool relay_client::shared_state::send(const call_state& unsent, const instance_id& relay) {
    const time_point now = this->params.time->now();
    const duration waited = now - unsent->started_at;
    wire::relayed_call_request request = unsent->request;
    request.max_wait -= std::chrono::duration_cast<std::chrono::milliseconds>(waited);
    relay_link& link = this->links.at(relay);
    if (link.revision < wire::accounts_revision) {
        // The headers still name the account to the target.
        request.account = account_name();
    }
    if (!send_waiting(link) || !link.link->send(std::move(request))) {
        spdlog::warn("relay link takes no more request={} relay={}", unsent->request.name,
                     relay.value());
        return false;
    }
    unsent->relay = relay;
    unsent->request.headers.clear();
    unsent->request.body = std::string();
    this->choice.call_sent(relay);
    spdlog::debug("call sent to relay request={} relay={} waited_ms={}", unsent->request.name,
                  relay.value(), waited / std::chrono::milliseconds(1));
    this->params.metrics->observe("relay_wait_seconds", waited);
    // Opens a further link where those that are open are loaded.
    this->open_links(unsent->request.backend, {});
    if (unsent->notify.on_sent) {
        const auto on_sent = unsent->notify.on_sent;
        on_sent();
    }
    return true;
}

bool relay_client::shared_state::open_links(const backend_name& backend,
                                            const std::set<instance_id>& passed_over) {
    const time_point now = this->params.time->now();
    auto dials = this->choice.choose_dials(backend, passed_over, now);
    if (dials.empty() && !this->choice.is_dialling(backend, passed_over, now)) {
        if (const auto unused = this->choice.replaceable_link(backend, now)) {
            spdlog::info("relay link closed relay={} reason=\"replaced\"", unused->value());
            this->choice.link_closed(*unused);
            this->close_link(*unused);
            dials = this->choice.choose_dials(backend, passed_over, now);
        }
    }
    for (const instance_id& relay : dials) {
        this->dial(relay);
    }
    return this->choice.is_dialling(backend, passed_over, now);
}

void relay_client::shared_state::dial(const instance_id& relay) {
    const std::uint64_t number = ++this->last_link_number;
    this->choice.link_dialled(relay);
    relay_link& created = this->links[relay];
    created.number = number;
    created.is_open = false;
    created.deadline = this->params.time->now() + dial_timeout;
    created.link = wire::peer_link::dial(
        this->addresses.at(relay), {[this, relay, number] {
                                        if (const relay_link* opened = this->find(relay, number)) {
                                            opened->link->send(this->params.make_hello());
                                        }
                                    },
                                    [this, relay, number](wire::message message) {
                                        const auto self = this->shared_from_this();
                                        if (this->find(relay, number) != nullptr) {
                                            this->receive(relay, std::move(message));
                                        }
                                    },
                                    [this, relay, number](const std::string& reason) {
                                        const auto self = this->shared_from_this();
                                        if (this->find(relay, number) != nullptr) {
                                            this->on_lost(relay, reason);
                                        }
                                    }});
}

void relay_client::shared_state::close_link(const instance_id& relay) {
    const auto found = this->links.find(relay);
    this->pending_deletion.push_back(std::move(found->second.link));
    this->links.erase(found);
    this->cleanup_timer.arm_now();
    this->count_links();
}

void relay_client::shared_state::on_lost(const instance_id& relay, const std::string& reason) {
    const time_point now = this->params.time->now();
    const bool was_open = this->links.at(relay).is_open;
    std::vector<call_state> lost;
    for (const auto& [number, call] : this->calls) {
        if (call->relay == relay) {
            lost.push_back(call);
        }
    }
    spdlog::warn("relay link lost relay={} was_open={} calls={} reason=\"{}\"", relay.value(),
                 was_open, lost.size(), reason);
    this->params.metrics->count(was_open ? "relay_links_lost_total" : "relay_dials_failed_total");
    this->choice.link_lost(relay, now);
    this->close_link(relay);
    for (const call_state& call : lost) {
        if (this->is_open(call)) {
            this->finish(call, relay_result::broken, "the link to the relay was lost: " + reason);
        }
    }
    this->run_now.arm_now();
}

void relay_client::shared_state::notify_relay(relay_link& link, const wire::message& message) {
    link.waiting.push_back(message);
    if (!send_waiting(link)) {
        this->schedule();
    }
}

bool relay_client::shared_state::send_waiting(relay_link& link) {
    while (!link.waiting.empty() && link.link->send(link.waiting.front())) {
        link.waiting.pop_front();
    }
    return link.waiting.empty();
}

void relay_client::shared_state::finish(const call_state& ended, relay_result result,
                                        const std::string& reason, duration retry_after) {
    this->calls.erase(ended->request.call);
    const bool was_sent = ended->relay != instance_id();
    if (was_sent) {
        this->choice.call_ended(ended->relay, this->params.time->now());
    }
    if (result != relay_result::complete) {
        spdlog::debug("relayed call failed request={} relay={} outcome={} reason=\"{}\"",
                      ended->request.name, ended->relay.value(), to_string(result), reason);
    }
    // A link may be idle now, and its relay stopping.
    this->run_now.arm_now();
    ended->notify.on_complete(result, reason, retry_after);
}

relay_client::shared_state::relay_link* relay_client::shared_state::find(const instance_id& relay,
                                                                         std::uint64_t number) {
    const auto found = this->links.find(relay);
    return found != this->links.end() && found->second.number == number ? &found->second : nullptr;
}

relay_client::shared_state::call_state
relay_client::shared_state::find_call(const instance_id& relay, std::uint64_t number) const {
    const auto found = this->calls.find(number);
    // The relay may send more before it learns that a call was cancelled.
    return found != this->calls.end() && found->second->relay == relay ? found->second : nullptr;
}

bool relay_client::shared_state::is_open(const call_state& call) const {
    return this->calls.contains(call->request.call);
}

void relay_client::shared_state::count_links() {
    this->params.metrics->set(
        "relay_links_open",
        static_cast<double>(std::count_if(this->links.begin(), this->links.end(),
                                          [](const auto& entry) { return entry.second.is_open; })));
}

} // namespace kingcupcart::relaying
