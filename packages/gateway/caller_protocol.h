#pragma once

#include "base/outcome.h"
#include "batch/job.h"
#include "gateway/caller_calls.h"
#include "gateway/refusal.h"
#include "http/exchange.h"
#include "routes/route.h"
#include "wire/messages.h"

#include <string>

namespace kingcupcart::gateway {

/// The callers' side of one external protocol: parses calls and writes responses. Stateless, and
/// takes no decisions.
template <typename Candidate>
concept caller_dialect = requires(http::exchange& exchange, const routed_call& call,
                                  const routes::route& route, const wire::batch_response& response,
                                  const refusal& refused, bool is_ready) {
    { Candidate::parse_call(exchange) } -> std::same_as<caller_call>;
    { Candidate::parse_job(exchange, call, route) } -> std::same_as<outcome<batch::job>>;
    { Candidate::send_readiness(exchange, is_ready) } -> std::same_as<void>;
    { Candidate::send_accepted(exchange) } -> std::same_as<void>;
    { Candidate::send_results(exchange, std::size_t{}, response) } -> std::same_as<void>;
    { Candidate::send_item_body(exchange, response) } -> std::same_as<void>;
    { Candidate::send_job_ended(exchange) } -> std::same_as<void>;
    { Candidate::refuse(exchange, refused) } -> std::same_as<void>;
};

/// Function table of a dialect, so that tasks need not be templates.
struct caller_protocol {
    caller_call (*parse_call)(const http::exchange&) = nullptr;
    /// Fails with `invalid_input`; the message names the field.
    outcome<batch::job> (*parse_job)(const http::exchange&, const routed_call&,
                                     const routes::route&) = nullptr;
    void (*send_readiness)(http::exchange&, bool is_ready) = nullptr;
    void (*send_accepted)(http::exchange&) = nullptr;
    /// `after` is the position from which on the caller reads.
    void (*send_results)(http::exchange&, std::size_t after, const wire::batch_response&) = nullptr;
    void (*send_item_body)(http::exchange&, const wire::batch_response&) = nullptr;
    void (*send_job_ended)(http::exchange&) = nullptr;
    void (*refuse)(http::exchange&, const refusal&) = nullptr;
};

template <caller_dialect Dialect>
constexpr caller_protocol make_caller_protocol() {
    return {&Dialect::parse_call,     &Dialect::parse_job,    &Dialect::send_readiness,
            &Dialect::send_accepted,  &Dialect::send_results, &Dialect::send_item_body,
            &Dialect::send_job_ended, &Dialect::refuse};
}

} // namespace kingcupcart::gateway
