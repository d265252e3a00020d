#pragma once

#include "wire/messages.h"

#include <cstdint>
#include <optional>

namespace kingcupcart::wire {

/// The message without the fields that a receiver of this protocol revision rejects; empty if the
/// message can be sent unchanged.
[[nodiscard]] std::optional<message> reduced_for(std::uint16_t revision, const message& outgoing);

} // namespace kingcupcart::wire
