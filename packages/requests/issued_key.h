#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace kingcupcart::requests {

/// An idempotency key that an instance issued. It names its home: the one incarnation of one
/// instance that knows what became of the request.
struct issued_key {
    instance_id owner;
    incarnation_id incarnation;
    std::uint64_t number = 0;
    /// The home's monotonic time of issue.
    time_point issued;

    [[nodiscard]] idempotency_key print() const;
    /// Empty where the text is not of this form, that is where a caller made the key up.
    [[nodiscard]] static std::optional<issued_key> parse(std::string_view text);

    friend bool operator==(const issued_key&, const issued_key&) = default;
};

} // namespace kingcupcart::requests
