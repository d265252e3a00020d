#include "gateway/internal/forwarded_call.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

namespace kingcupcart::gateway {

namespace {

/// Limit of a buffered response, in bytes.
constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;
constexpr int status_ok = 200;
constexpr int status_multiple_choices = 300;

/// Header fields that apply to a single connection, and those that this gateway's server sets
/// itself.
constexpr std::array<std::string_view, 9> connection_fields = {
    "connection",        "keep-alive",     "proxy-connection", "te",     "trailer",
    "transfer-encoding", "content-length", "upgrade",          "server",
};

bool is_connection_field(const std::string& name) {
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
    this->params.exchange->on_disconnect(
        [this] { this->params.notify(requests::caller_disconnected{this->params.id}); });
}

forwarded_call::~forwarded_call() = default;

void forwarded_call::start_attempt(const requests::send_attempt& action,
                                   const membership::target_record& target) {
    const attempt_id attempt = action.attempt;
    engines::forwarded_request request = this->params.request;
    request.time_left = this->params.deadline - this->params.time->now();
    request.resume_after =
        this->params.call.resume_after + static_cast<std::size_t>(action.resume_after.count());
    auto response = std::make_unique<attempt_response>();
    attempt_response& added = *response;
    added.last_event = request.resume_after;
    this->attempts.emplace(attempt, std::move(response));
    added.call = this->params.client->start(
        this->params.protocol.forward(request, target),
        {[this, attempt] { this->params.notify(requests::attempt_write_started{attempt}); },
         [this, attempt](const http::response_head& head) { this->on_head(attempt, head); },
         [this, attempt](std::string_view data) { this->on_data(attempt, data); },
         [this, attempt](http::call_result completion, const std::string& reason) {
             this->on_end(attempt, completion, reason);
         }});
}

void forwarded_call::on_head(attempt_id attempt, const http::response_head& head) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->head = head;
    switch (this->params.protocol.classify_response(head, this->params.call.request_name)) {
    case engines::response_kind::matching:
        found->second->is_matching = true;
        break;
    case engines::response_kind::not_run:
        this->fail(attempt, requests::attempt_failure::declined);
        break;
    case engines::response_kind::mismatched:
        spdlog::warn("attempt failed request={} attempt={} reason=\"the response belongs to "
                     "another request\"",
                     this->params.call.request_name, attempt.value());
        this->fail(attempt, requests::attempt_failure::broken);
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
    if (response.body.size() > max_response_bytes) {
        this->fail(attempt, requests::attempt_failure::broken);
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
            this->fail(attempt, requests::attempt_failure::broken);
            return;
        }
        response.last_event = event->number;
    }
    // Forwards complete events only, so that another target can resume after the last one.
    const auto end = response.body.rfind("\n\n");
    if (response.last_event == before || end == std::string::npos) {
        return;
    }
    const auto produced = static_cast<std::int64_t>(response.last_event - before);
    this->params.notify(requests::attempt_progressed{attempt, tokens(produced)});
    if (this->selected_attempt != attempt || !this->attempts.contains(attempt)) {
        return;
    }
    const std::size_t events_size = end + 2;
    this->params.exchange->write(std::string_view(response.body).substr(0, events_size));
    response.body.erase(0, events_size);
}

void forwarded_call::on_end(attempt_id attempt, http::call_result completion,
                            const std::string& reason) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const attempt_response& response = *found->second;
    if (completion == http::call_result::complete && response.is_matching) {
        this->params.notify(requests::attempt_completed{attempt});
        return;
    }
    spdlog::warn("attempt failed request={} attempt={} reason=\"{}\"",
                 this->params.call.request_name, attempt.value(), reason);
    this->fail(attempt, completion == http::call_result::unreachable
                            ? requests::attempt_failure::unreachable
                            : requests::attempt_failure::broken);
}

void forwarded_call::fail(attempt_id attempt, requests::attempt_failure failure) {
    this->cancel(attempt);
    this->params.notify(requests::attempt_failed{attempt, failure});
}

void forwarded_call::select_attempt(attempt_id attempt) {
    const bool is_first = this->selected_attempt == attempt_id();
    this->selected_attempt = attempt;
    const attempt_response& response = *this->attempts.at(attempt);
    if (this->params.is_stream && is_first && is_success(response.head.status)) {
        this->forward_headers(response.head);
        this->response_status = response.head.status;
        this->params.exchange->begin_stream(response.head.status, response.head.content_type);
    }
}

void forwarded_call::cancel(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->call.reset();
    this->pending_deletion.push_back(std::move(found->second));
    this->attempts.erase(found);
}

void forwarded_call::forward_headers(const http::response_head& head) {
    for (const header_field& field : head.headers) {
        const bool is_type = field.name == "Content-Type" || field.name == "content-type";
        if (!is_connection_field(field.name) && !is_type) {
            this->params.exchange->add_header(field.name.c_str(), field.value);
        }
    }
}

void forwarded_call::complete() {
    const attempt_response& response = *this->attempts.at(this->selected_attempt);
    if (this->params.exchange->is_streaming()) {
        this->params.exchange->end_stream();
        return;
    }
    this->forward_headers(response.head);
    this->response_status = response.head.status;
    this->params.exchange->respond(response.head.status, response.head.content_type, response.body);
}

void forwarded_call::refuse(const refusal& details) {
    if (this->params.exchange->is_streaming()) {
        // The exchange closes the stream without its last chunk, so that it does not look complete.
        return;
    }
    this->params.refuse(*this->params.exchange, details);
}

} // namespace kingcupcart::gateway
