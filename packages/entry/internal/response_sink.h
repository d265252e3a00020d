#pragma once

#include "entry/internal/problem.h"
#include "requests/recorded_response.h"

#include <functional>

namespace kingcupcart::entry {

/// Destination of a service's response: a caller's connection, or the instance that forwarded the
/// call.
class response_sink {
public:
    virtual ~response_sink() = default;
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    response_sink& operator=(const response_sink&) = delete;

    /// Sends a complete response, or an error if `response` records why there is none.
    virtual void send(const requests::recorded_response& response) = 0;
    virtual void refuse(const problem& refusal) = 0;
    /// Sets the function to call when the caller disconnects.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

} // namespace kingcupcart::entry
