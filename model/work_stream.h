#pragma once

#include <cstdint>

namespace kingcupcart::model {

/// One kind of work that arrives at the entry instances.
struct work_stream {
    /// Requests a second over all instances; zero for none.
    double per_second = 0;
    std::int64_t tokens_least = 1;
    std::int64_t tokens_most = 1;
    /// Requests that arrive together, as the drafts of a trainer's step do.
    int burst = 1;
};

} // namespace kingcupcart::model
