#include "gateway/internal/caller_responder.h"

#include "gateway/internal/refusals.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <string_view>

namespace kingcupcart::gateway {

namespace {

/// Header fields that apply to a single connection, and those that this gateway's server sets
/// itself.
constexpr std::array<std::string_view, 10> not_forwarded_fields = {
    "connection",   "keep-alive",        "proxy-connection", "te",      "trailer",
    "content-type", "transfer-encoding", "content-length",   "upgrade", "server",
};

bool is_forwarded_field(const std::string& name) {
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return std::find(not_forwarded_fields.begin(), not_forwarded_fields.end(), lower) ==
           not_forwarded_fields.end();
}

void add_headers(http::exchange& exchange, const http::response_head& head) {
    for (const header_field& field : head.headers) {
        if (is_forwarded_field(field.name)) {
            exchange.add_header(field.name.c_str(), field.value);
        }
    }
}

} // namespace

void caller_responder::refuse(http::exchange& exchange, const std::string& name,
                              const refusal& details) const {
    spdlog::info("request refused request={} outcome={} reason=\"{}\"", name,
                 to_string(details.kind), details.reason);
    this->params.metrics->count(std::string("requests_refused_total{outcome=\"") +
                                to_string(details.kind) + "\"}");
    this->params.protocol.refuse(exchange, details);
}

void caller_responder::refuse_take_up(http::exchange& exchange, const routed_call& call,
                                      const char* outcome, const refusal& details) const {
    spdlog::info("stream not taken up request={} stream={} after={} outcome={}", call.request_name,
                 call.resumes.value(), call.resume_after, outcome);
    this->params.metrics->count(std::string("stream_take_ups_total{outcome=\"") + outcome + "\"}");
    this->refuse(exchange, call.request_name, details);
}

forwarding::response_callbacks
caller_responder::respond_to(const std::shared_ptr<http::exchange>& exchange,
                             const routed_call& call, duration timeout) const {
    const std::string& name = call.request_name;
    forwarding::response_callbacks callbacks;
    callbacks.on_stream_bound =
        [this, stream = call.resumes.value().empty() ? streams::stream_id(name) : call.resumes,
         timeout](const std::optional<forwarding::stream_origin>& origin) {
            if (origin) {
                this->params.streams->record(stream, origin->backend, origin->software, timeout);
            } else {
                this->params.streams->withdraw(stream, timeout);
            }
        };
    callbacks.on_response = [exchange](const http::response_head& head, std::string_view body) {
        add_headers(*exchange, head);
        exchange->respond(head.status, head.content_type, body);
    };
    callbacks.on_stream_started = [exchange](const http::response_head& head) {
        add_headers(*exchange, head);
        exchange->begin_stream(head.status, head.content_type);
    };
    callbacks.on_stream_data = [exchange](std::string_view data) { exchange->write(data); };
    callbacks.unsent_bytes = [exchange] { return exchange->unsent_bytes(); };
    callbacks.on_stream_ended = [exchange] { exchange->end_stream(); };
    callbacks.on_failure = [this, exchange, name](const forwarding::call_failure& failure) {
        // The exchange closes a stream without its last chunk, so that it does not look complete.
        if (!exchange->is_streaming()) {
            this->refuse(*exchange, name, make_refusal(failure));
        }
    };
    return callbacks;
}

} // namespace kingcupcart::gateway
