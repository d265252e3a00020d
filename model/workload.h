#pragma once

#include <cstdint>

namespace kingcupcart::model {

/// Arrival rate and size of one kind of request to the entry instances.
struct workload {
    /// Over all instances; zero for no requests.
    double requests_per_second = 0;
    /// Tokens of a response, uniformly distributed.
    std::int64_t min_tokens = 1;
    std::int64_t max_tokens = 1;
    /// Number of requests that arrive together, such as the drafts of one trainer step.
    int burst_size = 1;
};

} // namespace kingcupcart::model
