#include "entry/internal/engine_call.h"

#include "http/exchange.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupcart::entry {

namespace {

constexpr int status_ok = 200;
constexpr int first_client_error = 400;
constexpr int status_too_many_requests = 429;
constexpr int first_server_error = 500;
constexpr int status_unavailable = 503;
constexpr std::size_t max_error_body_bytes = 65536;
constexpr const char* event_stream_type = "text/event-stream";

bool is_declined(int status) {
    return status == status_too_many_requests || status == status_unavailable;
}

/// Whether the engine rejected the request itself; any other engine would reject it too.
bool is_request_error(int status) {
    return status >= first_client_error && status < first_server_error && !is_declined(status);
}

} // namespace

engine_call::engine_call(request_id id, completions::completion_request request,
                         std::unique_ptr<http::exchange> exchange, call_context& context)
    : id(id), request(std::move(request)), exchange(std::move(exchange)), context(context) {
    this->response.id = "kc-" + std::to_string(id.value());
    this->exchange->on_disconnect(
        [this] { this->context.dispatch(requests::caller_disconnected{this->id}); });
    this->exchange->on_sent([this] { this->control_flow(); });
}

engine_call::~engine_call() = default;

void engine_call::start_attempt(const requests::send_attempt& action,
                                const membership::target_record& target) {
    const attempt_id attempt = action.attempt;
    http::request engine_request;
    engine_request.method = "POST";
    engine_request.url =
        "http://" + target.address.to_string() +
        (this->request.form == completions::completion_form::text ? "/v1/completions"
                                                                  : "/v1/chat/completions");
    engine_request.content_type = json_type;
    engine_request.body =
        completions::engine_request_body(this->request, action.resume_after, this->response.text);
    auto stream = std::make_unique<attempt_stream>();
    attempt_stream& inserted = *stream;
    this->attempts.emplace(attempt, std::move(stream));
    inserted.call = this->context.client.start(
        engine_request,
        {[this, attempt] { this->context.dispatch(requests::attempt_write_started{attempt}); },
         [this, attempt](const http::response_head& head) {
             this->attempts.at(attempt)->status = head.status;
         },
         [this, attempt](std::string_view data) { this->handle_data(attempt, data); },
         [this, attempt](http::call_result result, const std::string& reason) {
             if (result != http::call_result::complete) {
                 spdlog::warn("attempt failed request={} attempt={} error=\"{}\"", this->id.value(),
                              attempt.value(), reason);
             }
             this->handle_call_end(attempt, result);
         }});
}

void engine_call::handle_data(attempt_id attempt, std::string_view data) {
    attempt_stream& stream = *this->attempts.at(attempt);
    if (stream.status != status_ok) {
        stream.error_body += data.substr(0, max_error_body_bytes - stream.error_body.size());
        stream.call->set_held_bytes(stream.error_body.size());
        return;
    }
    for (const std::string& event : stream.parser.feed(data)) {
        this->handle_event(attempt, stream, event);
        if (!this->attempts.contains(attempt) || stream.is_done) {
            return;
        }
    }
    if (stream.parser.is_over_limit()) {
        this->fail_attempt(attempt, requests::attempt_failure::broken);
        return;
    }
    if (this->selected_attempt == attempt) {
        this->control_flow();
    } else {
        stream.call->set_held_bytes(stream.parser.buffered_bytes());
    }
}

void engine_call::control_flow() {
    const auto found = this->selected_attempt ? this->attempts.find(*this->selected_attempt)
                                              : this->attempts.end();
    if (found == this->attempts.end() || !found->second->call) {
        return;
    }
    const attempt_stream& stream = *found->second;
    const std::size_t unsent_bytes = this->exchange->unsent_bytes();
    if (this->flow.update(unsent_bytes)) {
        stream.call->set_paused(this->flow.is_paused());
        this->context.dispatch(
            requests::attempt_paused{*this->selected_attempt, this->flow.is_paused()});
    }
    // Last, because it may end the attempt.
    stream.call->set_held_bytes(stream.parser.buffered_bytes() + this->response.text.size() +
                                unsent_bytes);
}

void engine_call::handle_event(attempt_id attempt, attempt_stream& stream,
                               const std::string& event) {
    if (event == completions::done_data) {
        if (stream.is_finished) {
            stream.is_done = true;
            stream.call->drain();
            this->context.dispatch(requests::attempt_completed{attempt});
        } else {
            this->fail_attempt(attempt, requests::attempt_failure::broken);
        }
        return;
    }
    auto parsed =
        value_or_error([&] { return completions::parse_chunk(event, this->request.form); });
    if (const auto* failure = std::get_if<error>(&parsed)) {
        spdlog::warn("attempt failed request={} attempt={} error=\"{}\"", this->id.value(),
                     attempt.value(), failure->message);
        this->fail_attempt(attempt, requests::attempt_failure::broken);
        return;
    }
    const auto& chunk = std::get<completions::completion_chunk>(parsed);
    stream.is_finished = !chunk.finish_reason.empty();
    this->context.dispatch(requests::attempt_progressed{attempt, tokens(1)});
    // The dispatcher may have ended the attempt rather than pass the event on.
    if (this->selected_attempt == attempt && this->attempts.contains(attempt)) {
        this->deliver(chunk);
    }
}

void engine_call::deliver(const completions::completion_chunk& chunk) {
    this->response.add(chunk);
    if (!this->request.stream) {
        return;
    }
    this->begin_stream();
    this->exchange->write(completions::format_event(this->request, this->response, chunk));
}

void engine_call::begin_stream() {
    if (this->exchange->is_streaming()) {
        return;
    }
    this->exchange->add_header(request_header, std::to_string(this->id.value()));
    this->exchange->begin_stream(status_ok, event_stream_type);
}

void engine_call::handle_call_end(attempt_id attempt, http::call_result result) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const attempt_stream& stream = *found->second;
    if (result == http::call_result::unreachable) {
        this->fail_attempt(attempt, requests::attempt_failure::unreachable);
    } else if (result == http::call_result::complete && is_request_error(stream.status) &&
               !this->selected_attempt) {
        // Once an attempt has been selected, the caller has a part of another response.
        this->engine_status = stream.status;
        this->engine_error = stream.error_body;
        this->context.dispatch(requests::attempt_completed{attempt});
    } else if (result == http::call_result::complete && is_declined(stream.status)) {
        this->fail_attempt(attempt, requests::attempt_failure::declined);
    } else {
        // Includes a stream that ends without its final event.
        this->fail_attempt(attempt, requests::attempt_failure::broken);
    }
}

void engine_call::fail_attempt(attempt_id attempt, requests::attempt_failure failure) {
    this->cancel(attempt);
    this->context.dispatch(requests::attempt_failed{attempt, failure});
}

void engine_call::select(attempt_id attempt) {
    const bool is_other = this->selected_attempt && this->selected_attempt != attempt;
    this->selected_attempt = attempt;
    if (is_other) {
        this->flow = {};
        this->control_flow();
    }
}

void engine_call::cancel(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->call.reset();
    this->pending_deletion.push_back(std::move(found->second));
    this->attempts.erase(found);
}

void engine_call::complete() {
    if (this->engine_status != 0) {
        this->exchange->add_header(outcome_header,
                                   requests::to_string(requests::outcome_kind::answered));
        this->exchange->respond(this->engine_status, json_type, this->engine_error);
        return;
    }
    if (this->request.stream) {
        this->begin_stream();
        this->exchange->write(completions::done_event);
        this->exchange->end_stream();
        return;
    }
    this->exchange->add_header(request_header, std::to_string(this->id.value()));
    this->exchange->add_header(outcome_header,
                               requests::to_string(requests::outcome_kind::answered));
    this->exchange->respond(status_ok, json_type,
                            completions::format_response(this->request, this->response));
}

void engine_call::refuse(const problem& refusal) {
    if (this->exchange->is_streaming()) {
        // The status has been sent already, so the error is an event of type `error`; no [DONE]
        // follows.
        this->exchange->write("event: error\ndata: " + refusal.to_json() + "\n\n");
        this->exchange->end_stream();
        return;
    }
    this->exchange->add_header(outcome_header, requests::to_string(refusal.outcome));
    if (refusal.retry_after > duration::zero()) {
        this->exchange->add_header("Retry-After", std::to_string(refusal.retry_after_seconds()));
    }
    this->exchange->respond(refusal.status, problem_type, refusal.to_json());
}

} // namespace kingcupcart::entry
