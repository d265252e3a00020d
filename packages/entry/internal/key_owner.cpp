#include "entry/internal/key_owner.h"

#include "requests/issued_key.h"

#include <utility>

namespace kingcupcart::entry {

namespace {

constexpr std::size_t max_outcome_bytes = 16UL * 1024 * 1024;
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

problem owner_lost() {
    return unknown_outcome("home-lost", "the instance that owns this key can't be reached or has "
                                        "restarted; the request may have run");
}

key_owner::key_owner(instance_id local_id, incarnation_id incarnation, duration key_lifetime,
                     task::sender<peers_message> peers, runner run)
    : local_id(local_id),
      incarnation(incarnation),
      peers(std::move(peers)),
      run(std::move(run)),
      keys(std::move(local_id), incarnation, key_lifetime, max_outcome_bytes) {}

void key_owner::resolve(service_request request, std::unique_ptr<response_sink> sink,
                        time_point now) {
    const auto issued = requests::issued_key::parse(request.key.value());
    if (!issued) {
        const std::uint64_t claim = ++this->last_number;
        const idempotency_key key = request.key;
        this->pending_claims.emplace(claim, pending_claim{std::move(request), std::move(sink)});
        if (!this->peers.post(request_claim{claim, key})) {
            this->complete_claim({claim, false, {}, {}}, now);
        }
        return;
    }
    if (this->keys.is_owner_of(*issued)) {
        this->run(request, issued->issued, std::move(sink));
        return;
    }
    if (issued->owner == this->local_id) {
        sink->refuse(owner_lost());
        return;
    }
    this->forward(request, issued->owner, issued->incarnation, std::move(sink));
}

void key_owner::complete_claim(const entry::claim_completed& completed, time_point now) {
    const auto found = this->pending_claims.find(completed.claim);
    if (found == this->pending_claims.end()) {
        return;
    }
    pending_claim claim = std::move(found->second);
    this->pending_claims.erase(found);
    if (!completed.is_decided) {
        claim.sink->refuse(
            unknown_outcome("claim-undecided",
                            "no majority of keepers confirmed whether this key was used before; a "
                            "key issued by POST /v1/idempotency-keys needs no majority"));
        return;
    }
    if (completed.owner == this->local_id && completed.incarnation == this->incarnation) {
        this->run(claim.request, now, std::move(claim.sink));
        return;
    }
    if (completed.owner == this->local_id) {
        claim.sink->refuse(owner_lost());
        return;
    }
    this->forward(claim.request, completed.owner, completed.incarnation, std::move(claim.sink));
}

void key_owner::forward(const service_request& request, const instance_id& owner,
                        incarnation_id incarnation, std::unique_ptr<response_sink> sink) {
    forward_call command;
    command.owner = owner;
    command.call.call = ++this->last_number;
    command.call.key = request.key;
    command.call.incarnation = incarnation;
    command.call.caller = request.caller;
    command.call.work_class = request.work_class;
    command.call.service = request.service;
    command.call.method = request.method;
    command.call.path = request.path;
    command.call.headers = request.headers;
    command.call.body = request.body;
    const std::uint64_t number = command.call.call;
    sink->on_disconnect([this, number] { this->forwarded_calls.erase(number); });
    this->forwarded_calls.emplace(number, std::move(sink));
    if (!this->peers.post(std::move(command))) {
        const auto failed_sink = std::move(this->forwarded_calls.at(number));
        this->forwarded_calls.erase(number);
        failed_sink->refuse(owner_lost());
    }
}

void key_owner::complete_call(wire::forward_call_response response) {
    const auto found = this->forwarded_calls.find(response.call);
    if (found == this->forwarded_calls.end()) {
        return;
    }
    const auto sink = std::move(found->second);
    this->forwarded_calls.erase(found);
    if (response.outcome == requests::to_string(requests::outcome_kind::answered)) {
        requests::recorded_response recorded;
        recorded.outcome = requests::outcome_kind::answered;
        recorded.status = response.status;
        recorded.headers = std::move(response.headers);
        recorded.body = std::move(response.body);
        sink->send(recorded);
        return;
    }
    problem refusal;
    refusal.status = response.status == 0 ? status_bad_gateway : response.status;
    refusal.outcome = response.outcome == requests::to_string(requests::outcome_kind::not_run)
                          ? requests::outcome_kind::not_run
                          : requests::outcome_kind::unknown;
    refusal.reason = response.reason;
    sink->refuse(refusal);
}

} // namespace kingcupcart::entry
