#include "entry/internal/key_owner.h"

#include "requests/issued_key.h"

#include <utility>

namespace kingcupcart::entry {

namespace {

constexpr std::size_t outcome_bytes_max = 16UL * 1024 * 1024;
constexpr int status_bad_gateway = 502;

problem unknown_outcome(const char* reason, const char* detail) {
    problem refusal;
    refusal.status = status_bad_gateway;
    refusal.outcome = requests::outcome_kind::unknown;
    refusal.reason = reason;
    refusal.detail = detail;
    return refusal;
}

} // namespace

problem home_lost() {
    return unknown_outcome("home-lost", "the instance that knows what became of this key can't be "
                                        "reached; the request may have run");
}

key_owner::key_owner(instance_id here, incarnation_id incarnation, duration key_time,
                     task::sender<peers_message> peers, runner run)
    : here(here),
      incarnation(incarnation),
      peers(std::move(peers)),
      run(std::move(run)),
      keys(std::move(here), incarnation, key_time, outcome_bytes_max) {}

void key_owner::resolve(service_request request, std::unique_ptr<answer_sink> sink,
                        time_point now) {
    const auto issued = requests::issued_key::parse(request.key.value());
    if (!issued) {
        const std::uint64_t claim = ++this->last_number;
        const idempotency_key key = request.key;
        this->claims.emplace(claim, waiting_claim{std::move(request), std::move(sink)});
        if (!this->peers.post(ask_claim{claim, key})) {
            this->claim_ended({claim, false, {}, {}}, now);
        }
        return;
    }
    if (this->keys.is_owner_of(*issued)) {
        this->run(request, issued->issued, std::move(sink));
        return;
    }
    if (issued->owner == this->here) {
        sink->refuse(home_lost());
        return;
    }
    this->forward(request, issued->owner, issued->incarnation, std::move(sink));
}

void key_owner::claim_ended(const entry::claim_ended& ended, time_point now) {
    const auto found = this->claims.find(ended.claim);
    if (found == this->claims.end()) {
        return;
    }
    waiting_claim claim = std::move(found->second);
    this->claims.erase(found);
    if (!ended.is_decided) {
        claim.sink->refuse(unknown_outcome(
            "claim-undecided", "no majority of keepers says whether this key was used before; a "
                               "key issued by POST /v1/idempotency-keys needs none"));
        return;
    }
    if (ended.owner == this->here && ended.incarnation == this->incarnation) {
        this->run(claim.request, now, std::move(claim.sink));
        return;
    }
    if (ended.owner == this->here) {
        claim.sink->refuse(home_lost());
        return;
    }
    this->forward(claim.request, ended.owner, ended.incarnation, std::move(claim.sink));
}

void key_owner::forward(const service_request& request, const instance_id& owner,
                        incarnation_id incarnation, std::unique_ptr<answer_sink> sink) {
    forward_call wanted;
    wanted.owner = owner;
    wanted.call.call = ++this->last_number;
    wanted.call.key = request.key;
    wanted.call.incarnation = incarnation;
    wanted.call.caller = request.caller;
    wanted.call.work_class = request.work_class;
    wanted.call.service = request.service;
    wanted.call.method = request.method;
    wanted.call.path = request.path;
    wanted.call.headers = request.headers;
    wanted.call.body = request.body;
    const std::uint64_t number = wanted.call.call;
    sink->on_left([this, number] { this->forwarded.erase(number); });
    this->forwarded.emplace(number, std::move(sink));
    if (!this->peers.post(std::move(wanted))) {
        const auto kept = std::move(this->forwarded.at(number));
        this->forwarded.erase(number);
        kept->refuse(home_lost());
    }
}

void key_owner::call_ended(wire::forward_call_response answer) {
    const auto found = this->forwarded.find(answer.call);
    if (found == this->forwarded.end()) {
        return;
    }
    const auto sink = std::move(found->second);
    this->forwarded.erase(found);
    if (answer.outcome == requests::to_string(requests::outcome_kind::answered)) {
        requests::recorded_answer whole;
        whole.outcome = requests::outcome_kind::answered;
        whole.status = answer.status;
        whole.headers = std::move(answer.headers);
        whole.body = std::move(answer.body);
        sink->answer(whole);
        return;
    }
    problem refusal;
    refusal.status = answer.status == 0 ? status_bad_gateway : answer.status;
    refusal.outcome = answer.outcome == requests::to_string(requests::outcome_kind::not_run)
                          ? requests::outcome_kind::not_run
                          : requests::outcome_kind::unknown;
    refusal.reason = answer.reason;
    sink->refuse(refusal);
}

} // namespace kingcupcart::entry
