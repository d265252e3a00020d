#include "entry/internal/engine_call.h"

#include "http/exchange.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupcart::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_client_error = 400;
constexpr int status_too_many = 429;
constexpr int status_server_error = 500;
constexpr int status_unavailable = 503;
constexpr std::size_t error_body_limit = 65536;
constexpr const char* event_stream_type = "text/event-stream";

bool is_declined(int status) {
    return status == status_too_many || status == status_unavailable;
}

/// The engine found fault with the request itself; another engine would too.
bool is_callers_fault(int status) {
    return status >= status_client_error && status < status_server_error && !is_declined(status);
}

} // namespace

engine_call::engine_call(request_id id, completions::completion_request request,
                         std::unique_ptr<http::exchange> exchange, call_context& context)
    : id(id), request(std::move(request)), exchange(std::move(exchange)), context(context) {
    this->answer.id = "kc-" + std::to_string(id.value());
    this->exchange->on_left(
        [this] { this->context.notify(requests::caller_disconnected{this->id}); });
}

engine_call::~engine_call() = default;

void engine_call::start_attempt(const requests::send_attempt& sent,
                                const membership::target_record& target) {
    const attempt_id attempt = sent.attempt;
    http::request wanted;
    wanted.method = "POST";
    wanted.url =
        "http://" + target.address.to_string() +
        (this->request.form == completions::completion_form::text ? "/v1/completions"
                                                                  : "/v1/chat/completions");
    wanted.content_type = json_type;
    wanted.body = completions::engine_body(this->request, sent.resume_after, this->answer.text);
    auto stream = std::make_unique<attempt_stream>();
    attempt_stream& kept = *stream;
    this->attempts.emplace(attempt, std::move(stream));
    kept.call = this->context.client.start(
        wanted, {[this, attempt] { this->context.notify(requests::attempt_handed{attempt}); },
                 [this, attempt](const http::answer_head& head) {
                     this->attempts.at(attempt)->status = head.status;
                 },
                 [this, attempt](std::string_view data) { this->take_data(attempt, data); },
                 [this, attempt](http::call_end how, const std::string& reason) {
                     if (how != http::call_end::complete) {
                         spdlog::warn("attempt failed request={} attempt={} error=\"{}\"",
                                      this->id.value(), attempt.value(), reason);
                     }
                     this->end(attempt, how);
                 }});
}

void engine_call::take_data(attempt_id attempt, std::string_view data) {
    attempt_stream& stream = *this->attempts.at(attempt);
    if (stream.status != status_ok) {
        stream.error_body += data.substr(0, error_body_limit - stream.error_body.size());
        return;
    }
    for (const std::string& event : stream.parser.feed(data)) {
        this->take_event(attempt, stream, event);
        if (!this->attempts.contains(attempt)) {
            return;
        }
    }
    if (stream.parser.is_overfull()) {
        this->fail(attempt, requests::attempt_failure::broken);
    }
}

void engine_call::take_event(attempt_id attempt, attempt_stream& stream, const std::string& event) {
    if (event == completions::done_data) {
        if (stream.is_finished) {
            stream.call->drain();
            this->context.notify(requests::attempt_answered{attempt});
        } else {
            this->fail(attempt, requests::attempt_failure::broken);
        }
        return;
    }
    auto parsed =
        value_or_error([&] { return completions::parse_chunk(event, this->request.form); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        spdlog::warn("attempt failed request={} attempt={} error=\"{}\"", this->id.value(),
                     attempt.value(), problem->message);
        this->fail(attempt, requests::attempt_failure::broken);
        return;
    }
    const auto& chunk = std::get<completions::completion_chunk>(parsed);
    stream.is_finished = !chunk.finish_reason.empty();
    this->context.notify(requests::attempt_progressed{attempt, tokens(1)});
    if (this->adopted == attempt) {
        this->deliver(chunk);
    }
}

void engine_call::deliver(const completions::completion_chunk& chunk) {
    this->answer.add(chunk);
    if (!this->request.stream) {
        return;
    }
    this->begin_stream();
    this->exchange->write(completions::print_event(this->request, this->answer, chunk));
}

void engine_call::begin_stream() {
    if (this->exchange->is_streaming()) {
        return;
    }
    this->exchange->add_header(request_header, std::to_string(this->id.value()));
    this->exchange->begin_stream(status_ok, event_stream_type);
}

void engine_call::end(attempt_id attempt, http::call_end how) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const attempt_stream& stream = *found->second;
    if (how == http::call_end::unreachable) {
        this->fail(attempt, requests::attempt_failure::unreachable);
    } else if (how == http::call_end::complete && is_callers_fault(stream.status)) {
        this->engine_status = stream.status;
        this->engine_error = stream.error_body;
        this->context.notify(requests::attempt_answered{attempt});
    } else if (how == http::call_end::complete && is_declined(stream.status)) {
        this->fail(attempt, requests::attempt_failure::declined);
    } else {
        // Also a stream that ends without its last event.
        this->fail(attempt, requests::attempt_failure::broken);
    }
}

void engine_call::fail(attempt_id attempt, requests::attempt_failure failure) {
    this->cancel(attempt);
    this->context.notify(requests::attempt_failed{attempt, failure});
}

void engine_call::adopt(attempt_id attempt) {
    this->adopted = attempt;
}

void engine_call::cancel(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->call.reset();
    this->ended.push_back(std::move(found->second));
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
                            completions::print_answer(this->request, this->answer));
}

void engine_call::refuse(const problem& refusal) {
    if (this->exchange->is_streaming()) {
        // The status has gone out; the event is typed, and no [DONE] follows.
        this->exchange->write("event: error\ndata: " + refusal.print() + "\n\n");
        this->exchange->end_stream();
        return;
    }
    this->exchange->add_header(outcome_header, requests::to_string(refusal.outcome));
    if (refusal.retry_after > duration::zero()) {
        this->exchange->add_header("Retry-After", std::to_string(refusal.retry_after_seconds()));
    }
    this->exchange->respond(refusal.status, problem_type, refusal.print());
}

} // namespace kingcupcart::entry
