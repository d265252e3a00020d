#pragma once

#include "base/ids.h"
#include "streams/stream_record.h"

#include <optional>

namespace kingcupcart::streams {

enum class lookup_outcome {
    found,
    /// The stream is known, but not the version that began it.
    version_unknown,
    /// No keeper that could be asked knows the stream.
    stream_unknown,
    /// A keeper that may know the stream did not answer in time, or none could be asked.
    unanswered
};

[[nodiscard]] const char* to_string(lookup_outcome outcome);

struct lookup_result {
    lookup_outcome outcome = lookup_outcome::unanswered;
    /// Set if the stream is known.
    std::optional<stream_record> record;
    /// The instance that knew the stream.
    instance_id source;
};

} // namespace kingcupcart::streams
