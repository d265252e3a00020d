#pragma once

#include "base/ids.h"

#include <cstdint>
#include <map>

/// Calls to the platform's API. One family of small structs.
namespace kingcupcart::duties {

/// The number of requests of each client account that began to run in one window.
struct usage_report {
    /// Windows are numbered from the start of 1970, by their length.
    std::uint64_t window = 0;
    std::map<account_name, std::uint64_t> counts;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// The number of replicas that a service is to have in a failure domain.
struct scale_order {
    backend_name service;
    failure_domain_id domain;
    int desired = 0;
    /// Replicas that the platform may reclaim are counted separately from others.
    bool is_spot = false;

    friend bool operator==(const scale_order&, const scale_order&) = default;
};

enum class call_outcome {
    accepted,
    /// The platform has no such replicas available in the failure domain now (409).
    none_available,
    /// The platform accepts no more calls at present (429).
    busy,
    /// The platform rejects the call, and would reject a repeat of it.
    refused,
    /// No complete response arrived; the call may have taken effect.
    unknown
};

const char* to_string(call_outcome outcome);

} // namespace kingcupcart::duties
