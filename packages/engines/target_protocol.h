#pragma once

#include "base/header_field.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "batch/score_request.h"
#include "completions/server_sent_event.h"
#include "engines/forwarded_request.h"
#include "engines/item_request.h"
#include "engines/load_order.h"
#include "engines/response_kind.h"
#include "engines/stream_event.h"
#include "http/request.h"
#include "http/response_head.h"
#include "membership/target_record.h"
#include "permits/limit_statement.h"
#include "rollout/planner_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::engines {

/// The targets' side of one external protocol: builds requests and parses responses. Stateless, and
/// takes no decisions.
template <typename Candidate>
concept target_dialect = requires(const forwarded_request& forwarded, const item_request& item,
                                  const load_order& order, const membership::target_record& target,
                                  const http::response_head& head,
                                  const completions::server_sent_event& event,
                                  std::string_view text, const batch::score_request& scorer,
                                  std::vector<header_field>& headers, const account_name& account) {
    { Candidate::forward(forwarded, target) } -> std::same_as<http::request>;
    { Candidate::run_item(item, target) } -> std::same_as<http::request>;
    { Candidate::order_load(order, target) } -> std::same_as<http::request>;
    { Candidate::request_report(target) } -> std::same_as<http::request>;
    { Candidate::name_account(headers, account) } -> std::same_as<void>;
    { Candidate::make_score_call(scorer) } -> std::same_as<forwarded_request>;
    { Candidate::signature_of(head) } -> std::same_as<std::optional<std::string>>;
    { Candidate::classify_response(head, text) } -> std::same_as<response_kind>;
    { Candidate::is_leaving(head) } -> std::same_as<bool>;
    { Candidate::limit_of(head, text) } -> std::same_as<permits::limit_statement>;
    { Candidate::weight_version_of(head) } -> std::same_as<std::optional<weight_version>>;
    { Candidate::parse_event(event) } -> std::same_as<std::optional<stream_event>>;
    { Candidate::parse_load_order_result(head) } -> std::same_as<rollout::load_order_result>;
    { Candidate::parse_report(text) } -> std::same_as<outcome<rollout::engine_report>>;
};

/// Function table of a dialect, so that tasks need not be templates.
struct target_protocol {
    http::request (*forward)(const forwarded_request&, const membership::target_record&) = nullptr;
    http::request (*run_item)(const item_request&, const membership::target_record&) = nullptr;
    http::request (*order_load)(const load_order&, const membership::target_record&) = nullptr;
    http::request (*request_report)(const membership::target_record&) = nullptr;
    /// Replaces the fields in which a caller states its key or an account by one that names this
    /// account; by none if the name is empty.
    void (*name_account)(std::vector<header_field>&, const account_name&) = nullptr;
    forwarded_request (*make_score_call)(const batch::score_request&) = nullptr;
    /// The target's signature of a response; empty if the head has none.
    std::optional<std::string> (*signature_of)(const http::response_head&) = nullptr;
    /// `request_name` is the identifier that the request was sent with.
    response_kind (*classify_response)(const http::response_head&,
                                       std::string_view request_name) = nullptr;
    /// Whether the target says in this response, of whatever kind, that it is leaving.
    bool (*is_leaving)(const http::response_head&) = nullptr;
    /// The rate of requests that the target takes, as the response states it. `request_name` is the
    /// identifier that the request was sent with; empty if it had none.
    permits::limit_statement (*limit_of)(const http::response_head&,
                                         std::string_view request_name) = nullptr;
    /// The weight version that generates the first events of the stream; empty if the head has
    /// none.
    std::optional<weight_version> (*weight_version_of)(const http::response_head&) = nullptr;
    /// Empty if the event is malformed.
    std::optional<stream_event> (*parse_event)(const completions::server_sent_event&) = nullptr;
    rollout::load_order_result (*parse_load_order_result)(const http::response_head&) = nullptr;
    /// Leaves the engine's identifier in the report empty.
    outcome<rollout::engine_report> (*parse_report)(std::string_view body) = nullptr;
};

template <target_dialect Dialect>
constexpr target_protocol make_target_protocol() {
    return {&Dialect::forward,
            &Dialect::run_item,
            &Dialect::order_load,
            &Dialect::request_report,
            &Dialect::name_account,
            &Dialect::make_score_call,
            &Dialect::signature_of,
            &Dialect::classify_response,
            &Dialect::is_leaving,
            &Dialect::limit_of,
            &Dialect::weight_version_of,
            &Dialect::parse_event,
            &Dialect::parse_load_order_result,
            &Dialect::parse_report};
}

} // namespace kingcupcart::engines
