#pragma once

#include "base/header_field.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kingcupcart::entry {

/// A call of a plain service, as it goes to a target.
struct service_request {
    backend_name service;
    caller_id caller;
    work_class_name work_class;
    std::string method;
    /// Path at the service, with its query.
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    bool repeatable = false;
    /// Empty where the caller gave none.
    idempotency_key key;

    /// Hash of what makes two requests the same.
    [[nodiscard]] std::uint64_t fingerprint() const;
};

/// Without the headers that belong to one connection or to this system.
[[nodiscard]] std::vector<header_field> end_to_end(const std::vector<header_field>& headers);

} // namespace kingcupcart::entry
