#pragma once

#include "base/ids.h"
#include "duties/platform_call.h"
#include "http/request.h"
#include "http/response_head.h"

#include <concepts>

namespace kingcupcart::keeper {

/// The sender of a call to the platform's API.
struct call_holder {
    instance_id holder;
    /// The term in which the holder leads the keepers; rises with each new leader.
    fencing_token fence;
};

/// The platform's API in one external protocol: builds requests and reads responses. Stateless, and
/// takes no decisions.
template <typename Candidate>
concept platform_dialect = requires(const duties::usage_report& usage,
                                    const duties::scale_order& order, const call_holder& holder,
                                    const http::response_head& head) {
    { Candidate::report_usage(usage, holder) } -> std::same_as<http::request>;
    { Candidate::order_scale(order, holder) } -> std::same_as<http::request>;
    { Candidate::parse_outcome(head) } -> std::same_as<duties::call_outcome>;
};

/// Function table of a dialect, so that tasks need not be templates.
struct platform_protocol {
    http::request (*report_usage)(const duties::usage_report&, const call_holder&) = nullptr;
    http::request (*order_scale)(const duties::scale_order&, const call_holder&) = nullptr;
    duties::call_outcome (*parse_outcome)(const http::response_head&) = nullptr;
};

template <platform_dialect Dialect>
constexpr platform_protocol make_platform_protocol() {
    return {&Dialect::report_usage, &Dialect::order_scale, &Dialect::parse_outcome};
}

} // namespace kingcupcart::keeper
