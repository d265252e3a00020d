#pragma once

#include "base/outcome.h"
#include "wire/messages.h"

#include <string>
#include <string_view>

namespace kingcupcart::wire {

/// CBOR: an array of the message's number and its fields in order.
[[nodiscard]] std::string encode(const message& outgoing);

/// Fails with `invalid_input`, naming the field, where the bytes are no well-formed message.
[[nodiscard]] outcome<message> decode(std::string_view bytes);

} // namespace kingcupcart::wire
