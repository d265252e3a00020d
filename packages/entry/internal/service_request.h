#pragma once

#include "base/header_field.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kingcupcart::entry {

/// A request to a plain service, in the form that is sent to a target.
struct service_request {
    backend_name service;
    caller_id caller;
    work_class_name work_class;
    std::string method;
    /// Path within the service, with the query.
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    bool repeatable = false;
    /// Empty if the caller sent none.
    idempotency_key key;

    /// Hash of service, method, path and body. Requests with the same key must have the same hash.
    [[nodiscard]] std::uint64_t fingerprint() const;
};

/// Returns the headers without those that belong to one connection or to this system.
[[nodiscard]] std::vector<header_field>
end_to_end_headers(const std::vector<header_field>& headers);

} // namespace kingcupcart::entry
