#include "forwarding/internal/forwarded_call.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>

namespace kingcupcart::forwarding {

namespace {

constexpr int status_ok = 200;
constexpr int status_multiple_choices = 300;
/// A target of a plain service that rejects a request answers within this time; a request without a
/// response for longer counts as running.
constexpr duration presumed_running_after = std::chrono::seconds(1);
/// Kind of failure, in the log, of a response that is faulty in itself.
constexpr const char* broken_kind = "broken";

bool is_success(int status) {
    return status >= status_ok && status < status_multiple_choices;
}

} // namespace

forwarded_call::forwarded_call(parameters arguments) : params(std::move(arguments)) {}

forwarded_call::~forwarded_call() = default;

forwarded_call::attempt_end forwarded_call::make_end(http::call_result completion,
                                                     const std::string& reason) {
    attempt_end end{std::nullopt, http::to_string(completion), reason};
    switch (completion) {
    case http::call_result::complete:
        break;
    case http::call_result::unreachable:
        end.failure = requests::attempt_failure::unreachable;
        break;
    case http::call_result::disconnected:
        end.failure = requests::attempt_failure::disconnected;
        break;
    case http::call_result::broken:
        end.failure = requests::attempt_failure::broken;
        break;
    }
    return end;
}

forwarded_call::attempt_end forwarded_call::make_end(relaying::relay_result completion,
                                                     const std::string& reason) {
    attempt_end end{std::nullopt, relaying::to_string(completion), reason};
    switch (completion) {
    case relaying::relay_result::complete:
        break;
    case relaying::relay_result::no_relay:
        end.failure = requests::attempt_failure::no_relay;
        break;
    case relaying::relay_result::declined:
        end.failure = requests::attempt_failure::declined;
        break;
    case relaying::relay_result::broken:
        end.failure = requests::attempt_failure::broken;
        break;
    }
    return end;
}

engines::forwarded_request forwarded_call::remaining_request(tokens delivered) const {
    engines::forwarded_request request = this->params.call.request;
    request.time_left = this->params.deadline - this->params.time->now();
    request.resume_after += static_cast<std::size_t>(delivered.count());
    return request;
}

forwarded_call::attempt_response& forwarded_call::add_attempt(attempt_id attempt,
                                                              std::size_t resume_after) {
    auto response = std::make_unique<attempt_response>();
    attempt_response& added = *response;
    added.last_event = resume_after;
    added.sent_at = this->params.time->now();
    this->attempts.emplace(attempt, std::move(response));
    return added;
}

void forwarded_call::start_attempt(const requests::send_attempt& action,
                                   const membership::target_record& target) {
    const attempt_id attempt = action.attempt;
    const engines::forwarded_request request = this->remaining_request(action.resume_after);
    attempt_response& added = this->add_attempt(attempt, request.resume_after);
    added.target = target.id;
    added.incarnation = target.incarnation;
    added.is_opening = true;
    added.is_starting = true;
    http::request outgoing = this->params.protocol.forward(request, target);
    // The length of a stream is not limited, only that of its events.
    outgoing.max_response_bytes = this->params.is_stream ? 0 : this->params.max_response_bytes;
    outgoing.open_timeout = action.open_timeout;
    added.transport.set(this->params.client->start(
        outgoing,
        {[this, attempt] { this->on_write_started(attempt); },
         [this, attempt](const http::response_head& head) { this->on_target_head(attempt, head); },
         [this, attempt](std::string_view data) { this->on_data(attempt, data); },
         [this, attempt](http::call_result completion, const std::string& reason) {
             this->on_target_end(attempt, completion, reason);
         },
         [this, attempt](duration opening) {
             this->params.notify(requests::attempt_opened{attempt, opening});
         },
         [this, attempt, server = target.address] { this->on_silent(attempt, server); }}));
    added.is_starting = false;
}

void forwarded_call::start_attempt(const requests::relay_attempt& action) {
    const attempt_id attempt = action.attempt;
    if (this->params.relays == nullptr) {
        this->params.notify(requests::attempt_failed{attempt, requests::attempt_failure::no_relay});
        return;
    }
    engines::forwarded_request remaining = this->remaining_request(action.resume_after);
    attempt_response& added = this->add_attempt(attempt, remaining.resume_after);
    relayed_attempt::parameters arguments;
    arguments.attempt = attempt;
    wire::relayed_call_request& request = arguments.request;
    request.name = this->params.call.name;
    request.host = this->params.call.host;
    request.method = std::move(remaining.method);
    request.path = std::move(remaining.path);
    request.headers = std::move(remaining.headers);
    request.body = std::move(remaining.body);
    request.max_wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(remaining.time_left, duration::zero()));
    request.resume_after = remaining.resume_after;
    request.resumes = this->params.call.resumes;
    request.backend = action.backend;
    request.software = action.software;
    request.max_attempts = static_cast<std::uint32_t>(action.max_attempts);
    request.account = remaining.account;
    arguments.passed_over = this->tried_relays;
    arguments.time = this->params.time;
    arguments.relays = this->params.relays;
    arguments.metrics = this->params.metrics;
    arguments.budget = this->params.budget;
    arguments.on_sent = [this, attempt](const instance_id& relay) {
        this->tried_relays.push_back(relay);
        this->on_write_started(attempt);
    };
    arguments.on_head = [this, attempt](const http::response_head& head) {
        this->on_head(attempt, head);
    };
    arguments.on_data = [this, attempt](std::string_view data) { this->on_data(attempt, data); };
    arguments.on_end = [this, attempt](relaying::relay_result completion,
                                       const std::string& reason) {
        this->on_end(attempt, make_end(completion, reason));
    };
    added.transport.set(std::make_unique<relayed_attempt>(std::move(arguments)));
}

void forwarded_call::on_write_started(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found != this->attempts.end()) {
        found->second->is_opening = false;
        found->second->written_at = this->params.time->now();
    }
    this->params.notify(requests::attempt_write_started{attempt});
}

void forwarded_call::on_silent(attempt_id attempt, const endpoint& server) {
    const auto found = this->attempts.find(attempt);
    if (found != this->attempts.end()) {
        found->second->is_silent = true;
    }
    // A request that is sent on one of them would not arrive either.
    this->params.client->close_idle(server);
    this->params.notify(requests::attempt_silent{attempt});
}

void forwarded_call::on_target_head(attempt_id attempt, const http::response_head& head) {
    this->params.notify(requests::attempt_reached{attempt});
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const attempt_response& response = *found->second;
    this->params.head_received(
        {response.target, response.incarnation, this->params.call.name, response.sent_at}, head);
    this->on_head(attempt, head);
}

void forwarded_call::on_target_end(attempt_id attempt, http::call_result completion,
                                   const std::string& reason) {
    attempt_end end = make_end(completion, reason);
    const auto found = this->attempts.find(attempt);
    // The client ends a call before it has started only if no target could be sent the request.
    if (found != this->attempts.end() && found->second->is_starting) {
        end.failure = requests::attempt_failure::unsendable;
        end.kind = "unsendable";
    }
    this->on_end(attempt, end);
}

void forwarded_call::on_head(attempt_id attempt, const http::response_head& head) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->head = head;
    switch (this->params.protocol.classify_response(head, this->params.call.name)) {
    case engines::response_kind::matching:
        found->second->is_matching = true;
        if (!this->params.is_stream) {
            this->count_run(*found->second, found->second->written_at);
        }
        if (this->is_streaming && !is_success(head.status)) {
            // The caller already has a part of another response.
            this->fail_attempt(attempt, requests::attempt_failure::broken, broken_kind,
                               "error response with status " + std::to_string(head.status) +
                                   " to the rest of a stream");
        }
        break;
    case engines::response_kind::not_run:
        this->fail_attempt(attempt, requests::attempt_failure::declined, "not_run",
                           "the target did not run the request");
        break;
    case engines::response_kind::mismatched:
        this->fail_attempt(attempt, requests::attempt_failure::broken, broken_kind,
                           "the response belongs to another request");
        break;
    }
}

void forwarded_call::on_data(attempt_id attempt, std::string_view data) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    attempt_response& response = *found->second;
    if (this->params.is_stream && is_success(response.head.status)) {
        this->on_stream_data(attempt, response, data);
        return;
    }
    response.body += data;
    if (response.body.size() > this->params.max_response_bytes) {
        this->fail_attempt(attempt, requests::attempt_failure::broken, broken_kind,
                           "the response is longer than the limit");
    }
}

void forwarded_call::on_stream_data(attempt_id attempt, attempt_response& response,
                                    std::string_view data) {
    response.body += data;
    const std::size_t before = response.last_event;
    for (const completions::server_sent_event& server_sent_event :
         response.parser.feed_events(data)) {
        const auto event = this->params.protocol.parse_event(server_sent_event);
        if (!event || event->number != response.last_event + 1) {
            this->fail_attempt(attempt, requests::attempt_failure::broken, broken_kind,
                               "a stream event is malformed or out of order");
            return;
        }
        response.last_event = event->number;
    }
    if (response.parser.is_over_limit()) {
        this->fail_attempt(attempt, requests::attempt_failure::broken, broken_kind,
                           "a stream event is larger than the limit");
        return;
    }
    // Forwards complete events only, so that another target can resume after the last one.
    const auto end = response.body.rfind("\n\n");
    if (response.last_event == before || end == std::string::npos) {
        if (response.body.size() > this->params.max_response_bytes) {
            this->fail_attempt(attempt, requests::attempt_failure::broken, broken_kind,
                               "a stream event is larger than the limit");
        }
        return;
    }
    this->count_run(response, this->params.time->now());
    const auto produced = static_cast<std::int64_t>(response.last_event - before);
    this->params.notify(requests::attempt_progressed{attempt, tokens(produced)});
    if (this->selected_attempt != attempt || !this->attempts.contains(attempt)) {
        return;
    }
    const std::size_t events_size = end + 2;
    this->params.call.notify.on_stream_data(std::string_view(response.body).substr(0, events_size));
    response.body.erase(0, events_size);
    this->control_flow();
}

void forwarded_call::control_flow() {
    const auto found = this->attempts.find(this->selected_attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const auto& unsent_bytes = this->params.call.notify.unsent_bytes;
    const std::size_t unsent = unsent_bytes ? unsent_bytes() : 0;
    attempt_response& response = *found->second;
    if (this->flow.update(unsent)) {
        response.transport.set_paused(this->flow.is_paused());
        this->params.notify(
            requests::attempt_paused{this->selected_attempt, this->flow.is_paused()});
    }
    // Last, because it may end the attempt.
    response.transport.set_held_bytes(response.body.size() + response.parser.buffered_bytes() +
                                      unsent);
}

void forwarded_call::on_end(attempt_id attempt, const attempt_end& end) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const attempt_response& response = *found->second;
    const bool ends_in_event = this->params.is_stream && is_success(response.head.status) &&
                               !response.parser.is_between_events();
    if (end.failure) {
        this->fail_attempt(attempt, *end.failure, end.kind, end.reason);
    } else if (ends_in_event) {
        this->fail_attempt(attempt, requests::attempt_failure::broken, broken_kind,
                           "the stream ends within an event");
    } else if (!response.is_matching) {
        this->fail_attempt(attempt, requests::attempt_failure::broken, end.kind, end.reason);
    } else {
        this->params.notify(requests::attempt_completed{attempt});
    }
}

void forwarded_call::fail_attempt(attempt_id attempt, requests::attempt_failure failure,
                                  const char* kind, const std::string& reason) {
    const auto found = this->attempts.find(attempt);
    const attempt_response* response =
        found == this->attempts.end() ? nullptr : found->second.get();
    const auto& fingerprint = this->params.call.fingerprint;
    spdlog::warn("attempt failed request={} attempt={} kind={} fingerprint={} target={} "
                 "incarnation={} took_ms={} reason=\"{}\"",
                 this->params.call.name, attempt.value(), kind,
                 fingerprint ? fingerprint->to_string() : "",
                 response == nullptr ? "" : response->target.value(),
                 response == nullptr ? 0 : response->incarnation.value(),
                 response == nullptr ? 0
                                     : (this->params.time->now() - response->sent_at) /
                                           std::chrono::milliseconds(1),
                 reason);
    this->params.metrics->count(std::string("attempts_failed_total{kind=\"") + kind + "\"}");
    if (failure == requests::attempt_failure::broken ||
        failure == requests::attempt_failure::disconnected) {
        this->count_unanswered(attempt);
    }
    this->remove(attempt);
    this->params.notify(requests::attempt_failed{attempt, failure});
}

void forwarded_call::select_attempt(attempt_id attempt) {
    const bool is_first = this->selected_attempt == attempt_id();
    const bool is_other = !is_first && this->selected_attempt != attempt;
    this->selected_attempt = attempt;
    const attempt_response& response = *this->attempts.at(attempt);
    if (this->params.is_stream && is_first && is_success(response.head.status)) {
        this->is_streaming = true;
        this->response_status = response.head.status;
        this->params.call.notify.on_stream_started(response.head);
    }
    if (is_other) {
        this->flow = {};
        this->control_flow();
    }
}

void forwarded_call::bind_stream(const std::optional<stream_origin>& origin) {
    if (const auto& on_stream_bound = this->params.call.notify.on_stream_bound) {
        on_stream_bound(origin);
    }
}

void forwarded_call::cancel(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found != this->attempts.end() && found->second->is_opening) {
        this->log_unopened(attempt, *found->second);
    }
    this->count_unanswered(attempt);
    this->remove(attempt);
}

void forwarded_call::count_run(attempt_response& response,
                               const std::optional<time_point>& began_at) {
    // The relay that sends a request to its target counts it.
    const bool is_direct = !response.target.value().empty();
    if (this->params.run_began && is_direct && began_at &&
        !std::exchange(response.is_counted, true)) {
        this->params.run_began(this->params.time->now() - *began_at);
    }
}

// A response may come long after its window's counts are final.
void forwarded_call::count_open_runs() {
    const time_point sent_before = this->params.time->now() - presumed_running_after;
    for (const auto& [attempt, response] : this->attempts) {
        if (response->written_at && *response->written_at <= sent_before) {
            this->count_unanswered(attempt);
        }
    }
}

// A target of a plain service runs a request when it arrives, or rejects it. A request without a
// response counts as run, unless the target's kernel did not acknowledge it. A stream counts from
// its first event only, since its target may queue it for long.
void forwarded_call::count_unanswered(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found != this->attempts.end() && !this->params.is_stream && !found->second->is_silent) {
        this->count_run(*found->second, found->second->written_at);
    }
}

void forwarded_call::log_unopened(attempt_id attempt, const attempt_response& response) const {
    spdlog::info("attempt cancelled before a connection was open request={} attempt={} target={} "
                 "incarnation={} waited_ms={}",
                 this->params.call.name, attempt.value(), response.target.value(),
                 response.incarnation.value(),
                 (this->params.time->now() - response.sent_at) / std::chrono::milliseconds(1));
    this->params.metrics->count("attempts_unopened_total");
}

void forwarded_call::remove(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->transport.reset();
    // The object stays until the call ends, which later attempts may delay for long.
    found->second->body = std::string();
    found->second->parser = {};
    this->pending_deletion.push_back(std::move(found->second));
    this->attempts.erase(found);
}

void forwarded_call::complete() {
    const attempt_response& response = *this->attempts.at(this->selected_attempt);
    if (this->is_streaming) {
        this->params.call.notify.on_stream_ended();
        return;
    }
    this->response_status = response.head.status;
    this->params.call.notify.on_response(response.head, response.body);
}

void forwarded_call::fail(const call_failure& failure) {
    this->params.call.notify.on_failure(failure);
}

} // namespace kingcupcart::forwarding
