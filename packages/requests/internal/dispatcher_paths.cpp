#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <utility>
#include <vector>

/// What the dispatcher does with requests whose targets this instance does not reach.
namespace kingcupcart::requests {

namespace {

/// Time within which a cut that ends is noticed.
constexpr duration retry_after_no_path = std::chrono::seconds(1);
/// Another instance may have room at once; the delay is for a caller that asks none.
constexpr duration retry_after_no_room = std::chrono::seconds(1);
/// Silence of a stream after which it is resumed elsewhere while the instance is cut off. A target
/// whose kept connection still works sends within that time.
constexpr duration lost_stream_silence = std::chrono::milliseconds(400);

} // namespace

void dispatcher::state::begin(time_point current) {
    this->now = current;
    this->taken_connections.clear();
}

void dispatcher::state::on(const attempt_opened& opened) {
    const auto found = this->attempts.find(opened.attempt);
    if (found != this->attempts.end() && !found->second.is_relayed) {
        this->record_opened(found->second.target, opened.opening);
    }
}

void dispatcher::state::on(const attempt_reached& reached) {
    const auto found = this->attempts.find(reached.attempt);
    if (found == this->attempts.end() || found->second.is_relayed) {
        return;
    }
    const target_id& target = found->second.target;
    if (this->paths.is_silent(target, this->now)) {
        this->router.reset_target(target);
    }
    this->paths.record_reached(target, this->now);
    this->update_paths();
}

void dispatcher::state::on(const attempt_silent& silent) {
    const auto found = this->attempts.find(silent.attempt);
    if (found == this->attempts.end() || found->second.is_relayed || !this->limits.tracks_paths) {
        return;
    }
    const request_id id = found->second.request;
    const target_id target = found->second.target;
    const backend_name backend = this->requests.at(id).profile.backend;
    this->paths.record_lost(target, paths::path_evidence::silent, this->now);
    this->router.record_failed(target, this->now);
    this->update_paths();
    const auto request = this->requests.find(id);
    if (request != this->requests.end() && this->is_cut_off(backend)) {
        this->reroute(request->second);
    }
}

void dispatcher::state::on(const probe_ended& ended) {
    if (ended.is_open) {
        this->record_opened(ended.target, ended.opening);
        return;
    }
    // The router passes over the target when others are reached again.
    this->router.record_failed(ended.target, this->now);
    this->record_unopened(ended.target, ended.opening);
    this->update_paths();
}

void dispatcher::state::record_path(const membership::directory_change& change) {
    using membership::directory_event;
    const membership::target_record& record = change.record;
    switch (change.event) {
    case directory_event::removed:
        this->paths.remove_target(record.id);
        break;
    case directory_event::restarted:
        this->paths.update_target(record.id, record.backend, record.leaving, this->now);
        this->paths.reset_target(record.id, this->now);
        break;
    case directory_event::added:
    case directory_event::changed:
        this->paths.update_target(record.id, record.backend, record.leaving, this->now);
        break;
    case directory_event::renewed:
    case directory_event::stale:
        break;
    }
}

void dispatcher::state::record_opened(const target_id& target, duration opening) {
    const std::vector<target_id> regained = this->paths.record_open(target, opening, this->now);
    for (const target_id& other : regained) {
        // It was ejected because of the cut.
        this->router.reset_target(other);
    }
    this->update_paths();
}

void dispatcher::state::record_unopened(const target_id& target, duration elapsed) {
    if (!this->limits.tracks_paths) {
        return;
    }
    const bool is_timeout = elapsed >= this->paths.open_timeout(target);
    this->paths.record_lost(
        target, is_timeout ? paths::path_evidence::open_timed_out : paths::path_evidence::refused,
        this->now);
}

bool dispatcher::state::is_cut_off(const backend_name& backend) const {
    return this->paths.is_cut_off(backend, this->now);
}

duration dispatcher::state::open_timeout(const target_id& target) const {
    return this->limits.tracks_paths ? this->paths.open_timeout(target) : duration{};
}

std::optional<time_point> dispatcher::state::next_path_wakeup() const {
    const auto expiry = this->paths.next_expiry();
    const auto probe = this->paths.next_probe(this->now);
    return probe ? std::min(*probe, expiry.value_or(*probe)) : expiry;
}

void dispatcher::state::check_paths() {
    this->paths.expire(this->now);
    for (const target_id& target : this->paths.take_due_probes(this->now)) {
        this->output.push_back(probe_path{target, this->paths.open_timeout(target)});
    }
    this->update_paths();
}

void dispatcher::state::update_paths() {
    std::vector<paths::path_change> changes = this->paths.take_changes();
    std::vector<backend_name> current = this->paths.cut_off_backends(this->now);
    if (changes.empty() && current == this->cut_off) {
        return;
    }
    this->output.push_back(paths_changed{std::move(changes)});
    const std::vector<backend_name> previous = std::exchange(this->cut_off, current);
    const auto contains = [](const auto& backends, const backend_name& backend) {
        return std::find(backends.begin(), backends.end(), backend) != backends.end();
    };
    for (const backend_name& backend : current) {
        if (!contains(previous, backend)) {
            this->reroute(backend);
        }
    }
    for (const backend_name& backend : previous) {
        if (!contains(current, backend)) {
            this->send_queued(backend);
        }
    }
}

void dispatcher::state::send_despite_cut(request_state& request, send_cause cause) {
    this->paths.record_needed(request.profile.backend, this->now);
    // The relay decides whether the request has to wait: a trial that is granted to this instance
    // would keep the relay from one.
    const quarantine::send_decision decision = this->decide_quarantine(request);
    if (decision.permission == quarantine::send_permission::refused) {
        this->refuse(request, refusal_reason::quarantined, decision.retry_after);
        return;
    }
    // A request that must not be repeated could not leave a connection that turns out to be dead.
    const bool may_use_kept = request.profile.repeatable && !request.profile.is_relayed &&
                              request.sent_count() == 0 && this->may_send_copy(request);
    if (may_use_kept) {
        const auto choice = this->route_over_kept_connections(request, true);
        if (choice.target) {
            this->send(request, choice, cause);
            return;
        }
    }
    if (this->may_be_relayed(request)) {
        this->relay(request);
    } else {
        this->refuse(request, refusal_reason::no_path, retry_after_no_path);
    }
}

routing::route_choice dispatcher::state::route_over_kept_connections(const request_state& request,
                                                                     bool allows_limited) {
    routing::route_query query = make_query(request);
    query.allows_limited = allows_limited;
    if (this->has_kept_connection) {
        for (const target_id& target : this->paths.targets_of(query.backend)) {
            const auto& taken = this->taken_connections;
            if (!this->paths.is_silent(target, this->now) && this->has_kept_connection(target) &&
                std::find(taken.begin(), taken.end(), target) == taken.end()) {
                query.only.push_back(target);
            }
        }
    }
    if (query.only.empty()) {
        return {};
    }
    routing::route_choice choice = this->router.choose(query, this->now);
    if (choice.target) {
        this->taken_connections.push_back(*choice.target);
    }
    return choice;
}

bool dispatcher::state::may_be_relayed(const request_state& request) const {
    return request.profile.may_relay && !request.profile.is_relayed &&
           request.relay_count < this->limits.max_relays;
}

void dispatcher::state::relay(request_state& request) {
    this->last_attempt = attempt_id(this->last_attempt.value() + 1);
    attempt_state attempt;
    attempt.request = request.profile.id;
    attempt.kind = request.kind;
    attempt.sent = this->now;
    attempt.resume_after = request.delivered_tokens;
    attempt.is_relayed = true;
    const std::size_t most = this->max_attempts(request);
    const std::size_t left = most - std::min(request.sent_count(), most);
    // Leaves one to a second relay, should the first be lost with the request.
    attempt.target_limit = left > 1 ? left - 1 : 1;
    this->attempts.emplace(this->last_attempt, attempt);
    request.is_paused = false;
    request.active_attempts.push_back(this->last_attempt);
    request.attempt_count += attempt.target_limit;
    ++request.relay_count;
    this->output.push_back(relay_attempt{request.profile.id, this->last_attempt,
                                         request.delivered_tokens, request.software,
                                         request.profile.backend, attempt.target_limit});
}

bool dispatcher::state::is_stranded(const request_state& request) const {
    if (request.queued || request.held) {
        return true;
    }
    if (request.active_attempts.empty() || request.reported_unknown || !request.can_retry()) {
        return false;
    }
    return std::all_of(
        request.active_attempts.begin(), request.active_attempts.end(), [&](attempt_id id) {
            const attempt_state& attempt = this->attempts.at(id);
            if (attempt.is_relayed || attempt.has_output) {
                return false;
            }
            return attempt.is_written ? this->paths.is_silent(attempt.target, this->now)
                                      : this->paths.is_lost(attempt.target, this->now);
        });
}

void dispatcher::state::reroute(const backend_name& backend) {
    std::vector<request_id> stranded;
    for (const auto& [id, request] : this->requests) {
        if (request.profile.backend == backend && this->is_stranded(request)) {
            stranded.push_back(id);
        }
    }
    std::sort(stranded.begin(), stranded.end());
    for (const request_id id : stranded) {
        this->reroute(this->requests.at(id));
    }
}

void dispatcher::state::reroute(request_state& request) {
    if (!this->is_stranded(request)) {
        return;
    }
    const bool was_written =
        std::any_of(request.active_attempts.begin(), request.active_attempts.end(),
                    [this](attempt_id attempt) { return this->attempts.at(attempt).is_written; });
    if (was_written &&
        (!this->may_be_relayed(request) || request.sent_count() >= this->max_attempts(request) ||
         !this->budget.try_withdraw())) {
        return;
    }
    const send_cause cause = request.held.value_or(next_cause(request));
    this->stop_holding(request);
    if (request.queued) {
        this->stop_awaiting_permit(request);
        this->queues[request.profile.backend].remove(request.profile.id);
        request.queued = false;
        request.preempted = false;
    }
    while (!request.active_attempts.empty()) {
        const attempt_id newest = request.active_attempts.back();
        const attempt_state& cancelled = this->attempts.at(newest);
        request.unsent_count += cancelled.is_written ? 0 : cancelled.target_limit;
        // The wait for a lost path says nothing of how fast the target is.
        this->end_attempt(request, newest, quarantine::attempt_end::unclear);
        this->output.push_back(cancel_attempt{newest});
    }
    this->route_and_send(request, cause);
}

void dispatcher::state::relay_stalled(request_state& request, duration silence) {
    if (silence < lost_stream_silence || !this->may_be_relayed(request) ||
        !this->budget.try_withdraw()) {
        return;
    }
    const attempt_id stalled = *request.selected;
    request.selected.reset();
    this->cancel(request, stalled);
    this->route_and_send(request, send_cause::resume);
}

void dispatcher::state::enqueue_or_decline(request_state& request, bool waits_for_permit) {
    if (request.profile.is_relayed && !waits_for_permit) {
        this->refuse(request, refusal_reason::queue_full, retry_after_no_room);
        return;
    }
    this->enqueue(request);
}

} // namespace kingcupcart::requests
