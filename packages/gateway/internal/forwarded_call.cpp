#include "gateway/internal/forwarded_call.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

namespace kingcupcart::gateway {

namespace {

/// Largest answer that is held, in bytes.
constexpr std::size_t answer_bytes_max = 64UL * 1024 * 1024;
constexpr int status_ok = 200;
constexpr int status_multiple_choices = 300;

/// Header fields that concern one connection only, and those that the server writes itself.
constexpr std::array<std::string_view, 9> connection_fields = {
    "connection",        "keep-alive",     "proxy-connection", "te",     "trailer",
    "transfer-encoding", "content-length", "upgrade",          "server",
};

bool is_for_connection(const std::string& name) {
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return std::find(connection_fields.begin(), connection_fields.end(), lower) !=
           connection_fields.end();
}

bool is_success(int status) {
    return status >= status_ok && status < status_multiple_choices;
}

} // namespace

forwarded_call::forwarded_call(parameters arguments) : params(std::move(arguments)) {
    this->params.exchange->on_left(
        [this] { this->params.notify(requests::caller_disconnected{this->params.id}); });
}

forwarded_call::~forwarded_call() = default;

void forwarded_call::start_attempt(const requests::send_attempt& sent,
                                   const membership::target_record& target) {
    const attempt_id attempt = sent.attempt;
    engines::forwarded_request wanted = this->params.request;
    wanted.time_left = this->params.deadline - this->params.time->now();
    wanted.resume_after =
        this->params.call.resume_after + static_cast<std::size_t>(sent.resume_after.count());
    auto made = std::make_unique<attempt_answer>();
    attempt_answer& kept = *made;
    kept.last_event = wanted.resume_after;
    this->attempts.emplace(attempt, std::move(made));
    kept.call = this->params.client->start(
        this->params.port.forward(wanted, target),
        {[this, attempt] { this->params.notify(requests::attempt_handed{attempt}); },
         [this, attempt](const http::answer_head& head) { this->take_head(attempt, head); },
         [this, attempt](std::string_view data) { this->take_data(attempt, data); },
         [this, attempt](http::call_end how, const std::string& reason) {
             this->end(attempt, how, reason);
         }});
}

void forwarded_call::take_head(attempt_id attempt, const http::answer_head& head) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->head = head;
    switch (this->params.port.judge(head, this->params.call.request_name)) {
    case engines::answer_kind::genuine:
        found->second->is_genuine = true;
        break;
    case engines::answer_kind::not_run:
        this->fail(attempt, requests::attempt_failure::declined);
        break;
    case engines::answer_kind::foreign:
        spdlog::warn("attempt failed request={} attempt={} reason=\"answer of another request\"",
                     this->params.call.request_name, attempt.value());
        this->fail(attempt, requests::attempt_failure::broken);
        break;
    }
}

void forwarded_call::take_data(attempt_id attempt, std::string_view data) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    attempt_answer& answer = *found->second;
    if (this->params.is_stream && is_success(answer.head.status)) {
        this->take_stream(attempt, answer, data);
        return;
    }
    answer.body += data;
    if (answer.body.size() > answer_bytes_max) {
        this->fail(attempt, requests::attempt_failure::broken);
    }
}

void forwarded_call::take_stream(attempt_id attempt, attempt_answer& answer,
                                 std::string_view data) {
    answer.body += data;
    const std::size_t before = answer.last_event;
    for (const completions::server_event& raw : answer.parser.feed_events(data)) {
        const auto event = this->params.port.read_event(raw);
        if (!event || event->number != answer.last_event + 1) {
            this->fail(attempt, requests::attempt_failure::broken);
            return;
        }
        answer.last_event = event->number;
    }
    // Only whole events are passed on, so that another target can go on after the last one.
    const auto end = answer.body.rfind("\n\n");
    if (answer.last_event == before || end == std::string::npos) {
        return;
    }
    const auto produced = static_cast<std::int64_t>(answer.last_event - before);
    this->params.notify(requests::attempt_progressed{attempt, tokens(produced)});
    if (this->adopted != attempt || !this->attempts.contains(attempt)) {
        return;
    }
    const std::size_t whole = end + 2;
    this->params.exchange->write(std::string_view(answer.body).substr(0, whole));
    answer.body.erase(0, whole);
}

void forwarded_call::end(attempt_id attempt, http::call_end how, const std::string& reason) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const attempt_answer& answer = *found->second;
    if (how == http::call_end::complete && answer.is_genuine) {
        this->params.notify(requests::attempt_answered{attempt});
        return;
    }
    spdlog::warn("attempt failed request={} attempt={} reason=\"{}\"",
                 this->params.call.request_name, attempt.value(), reason);
    this->fail(attempt, how == http::call_end::unreachable ? requests::attempt_failure::unreachable
                                                           : requests::attempt_failure::broken);
}

void forwarded_call::fail(attempt_id attempt, requests::attempt_failure failure) {
    this->cancel(attempt);
    this->params.notify(requests::attempt_failed{attempt, failure});
}

void forwarded_call::adopt(attempt_id attempt) {
    const bool is_first = this->adopted == attempt_id();
    this->adopted = attempt;
    const attempt_answer& answer = *this->attempts.at(attempt);
    if (this->params.is_stream && is_first && is_success(answer.head.status)) {
        this->pass_headers(answer.head);
        this->told_status = answer.head.status;
        this->params.exchange->begin_stream(answer.head.status, answer.head.content_type);
    }
}

void forwarded_call::cancel(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->call.reset();
    this->finished.push_back(std::move(found->second));
    this->attempts.erase(found);
}

void forwarded_call::pass_headers(const http::answer_head& head) {
    for (const header_field& field : head.headers) {
        const bool is_type = field.name == "Content-Type" || field.name == "content-type";
        if (!is_for_connection(field.name) && !is_type) {
            this->params.exchange->add_header(field.name.c_str(), field.value);
        }
    }
}

void forwarded_call::complete() {
    const attempt_answer& answer = *this->attempts.at(this->adopted);
    if (this->params.exchange->is_streaming()) {
        this->params.exchange->end_stream();
        return;
    }
    this->pass_headers(answer.head);
    this->told_status = answer.head.status;
    this->params.exchange->respond(answer.head.status, answer.head.content_type, answer.body);
}

void forwarded_call::refuse(const refusal& why) {
    if (this->params.exchange->is_streaming()) {
        // Without its last chunk the stream does not look complete; the exchange cuts it.
        return;
    }
    this->params.refuse(*this->params.exchange, why);
}

} // namespace kingcupcart::gateway
