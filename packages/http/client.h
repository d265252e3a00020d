#pragma once

#include "base/clock.h"
#include "http/request.h"
#include "http/response_head.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupcart::http {

/// How a call ended.
enum class call_result {
    /// The client received the whole response.
    complete,
    /// No connection could be opened; no part of the request was written to a socket.
    unreachable,
    /// The connection failed, or the response was truncated.
    broken
};

/// An HTTP client that runs on the event loop of the thread that created it.
class client {
public:
    struct callbacks {
        /// Called just before the request is written to a socket.
        std::function<void()> on_write_started;
        std::function<void(const response_head&)> on_head;
        std::function<void(std::string_view)> on_data;
        /// Called once, and no other callback follows.
        std::function<void(call_result, const std::string& reason)> on_complete;
    };

    /// A call in progress. The destructor cancels it and calls none of the callbacks.
    class call {
    public:
        ~call();
        call(const call&) = delete;
        call& operator=(const call&) = delete;

        /// Reads and discards the rest of the response, so that the connection can be reused. Calls
        /// no callback, and continues after this object is destroyed. Closes the
        /// connection if the rest is longer than 64 KiB.
        void drain();

    private:
        friend class client;
        class state;
        explicit call(std::shared_ptr<state> new_state);
        std::shared_ptr<state> impl;
    };

    /// With a zero `read_interval` the client reads response data as it arrives. Otherwise it reads
    /// once per interval, which costs less if many long responses arrive in small parts.
    explicit client(duration read_interval = duration::zero());
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    [[nodiscard]] std::unique_ptr<call> start(const request& outgoing, callbacks notify);

private:
    class session_state;
    std::unique_ptr<session_state> impl;
};

} // namespace kingcupcart::http
