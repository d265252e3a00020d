#pragma once

#include "base/ids.h"
#include "streams/stream_id.h"

#include <chrono>
#include <optional>

namespace kingcupcart::streams {

/// Which replicas may continue a stream that its caller takes up.
struct stream_record {
    stream_id stream;
    /// The service that began the stream.
    backend_name backend;
    /// The software version that began it; empty if that is unknown, so that nothing may continue
    /// it.
    std::optional<software_version> software;
    /// Time for which the record is still kept.
    std::chrono::milliseconds lifetime{};
    /// Time since the stream was first recorded.
    std::chrono::milliseconds age{};

    friend bool operator==(const stream_record&, const stream_record&) = default;
};

} // namespace kingcupcart::streams
