#pragma once

#include "base/strong_id.h"

#include <string>

namespace kingcupcart::streams {

/// Identifies a stream over its caller's attempts: the identifier that the caller gave the attempt
/// that brought the stream's first event.
using stream_id = strong_id<struct stream_tag, std::string>;

} // namespace kingcupcart::streams
