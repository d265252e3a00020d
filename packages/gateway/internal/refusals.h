#pragma once

#include "base/clock.h"
#include "forwarding/call_failure.h"
#include "gateway/refusal.h"
#include "streams/lookup_result.h"

#include <chrono>

namespace kingcupcart::gateway {

/// Delay after which a refused caller may retry; full targets usually have free slots again by
/// then.
constexpr duration retry_after_default = std::chrono::milliseconds(100);

[[nodiscard]] refusal make_refusal(const forwarding::call_failure& failure);
/// For a request that takes up a stream which was not found.
[[nodiscard]] refusal make_refusal(streams::lookup_outcome outcome);

} // namespace kingcupcart::gateway
