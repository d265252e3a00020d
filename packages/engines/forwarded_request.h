#pragma once

#include "base/clock.h"
#include "base/header_field.h"
#include "base/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kingcupcart::engines {

/// A caller's request that is to be sent to a target.
struct forwarded_request {
    std::string method;
    /// Path with its query, as received.
    std::string path;
    /// As received, but for those that `target_protocol::name_account` replaces.
    std::vector<header_field> headers;
    std::string body;
    bool is_repeatable = false;
    /// Time until the request's deadline.
    duration time_left{};
    /// The stream resumes after the event with this number; 0 for a stream from the start.
    std::size_t resume_after = 0;
    /// The caller's account, which `headers` already name to the target; empty if there is none.
    account_name account;
};

} // namespace kingcupcart::engines
