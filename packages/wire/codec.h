#pragma once

#include "base/outcome.h"
#include "wire/messages.h"

#include <string>
#include <string_view>

namespace kingcupcart::wire {

/// Encodes a message in CBOR, as an array of the message's number and its fields in order.
[[nodiscard]] std::string encode(const message& outgoing);

/// Fails with `invalid_input` if the bytes are not a well-formed message; the error names the
/// message and the position of the first invalid field.
[[nodiscard]] outcome<message> decode(std::string_view bytes);

} // namespace kingcupcart::wire
