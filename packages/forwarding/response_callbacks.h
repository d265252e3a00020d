#pragma once

#include "forwarding/call_failure.h"
#include "forwarding/stream_origin.h"
#include "http/response_head.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

namespace kingcupcart::forwarding {

/// Receives the response to a forwarded request: either `on_response`, or `on_stream_started`
/// followed by `on_stream_data` and `on_stream_ended`. A request without a complete response ends
/// with `on_failure`, which may also follow parts of a stream.
struct response_callbacks {
    std::function<void(const http::response_head&, std::string_view body)> on_response;
    std::function<void(const http::response_head&)> on_stream_started;
    std::function<void(std::string_view)> on_stream_data;
    std::function<void()> on_stream_ended;
    /// Called once before the first data of a resumable stream, and with an empty origin if it
    /// turns out that the version of what was passed on is unknown. Not called for what another
    /// gateway relays, which records the stream itself. May be null.
    std::function<void(const std::optional<stream_origin>&)> on_stream_bound;
    /// Returns the bytes passed to `on_stream_data` that were not sent to the caller yet. May be
    /// null if the caller is never slow.
    std::function<std::size_t()> unsent_bytes;
    std::function<void(const call_failure&)> on_failure;
};

} // namespace kingcupcart::forwarding
