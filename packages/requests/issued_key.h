#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace kingcupcart::requests {

/// An idempotency key that an instance issued. It contains its owner: the incarnation of the
/// instance that records the outcome of the key's request.
struct issued_key {
    instance_id owner;
    incarnation_id incarnation;
    std::uint64_t number = 0;
    /// Time of issue on the owner's monotonic clock.
    time_point issued;

    [[nodiscard]] idempotency_key to_idempotency_key() const;
    /// Empty if the text does not have this form, that is, if the caller chose the key.
    [[nodiscard]] static std::optional<issued_key> parse(std::string_view text);

    friend bool operator==(const issued_key&, const issued_key&) = default;
};

} // namespace kingcupcart::requests
