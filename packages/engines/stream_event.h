#pragma once

#include "base/ids.h"

#include <cstddef>
#include <optional>
#include <string>

namespace kingcupcart::engines {

/// One event of an engine's output stream.
struct stream_event {
    /// Counts from 1 over the whole output, also across runs that resume on another engine.
    std::size_t number = 0;
    std::string data;
    /// Set if the weights changed before this event.
    std::optional<weight_version> version;
};

} // namespace kingcupcart::engines
