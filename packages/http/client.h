#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/response_limits.h"
#include "http/request.h"
#include "http/response_head.h"

#include <chrono>
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
    /// The server closed or reset the connection after the request was written to it and before the
    /// response was whole; what had arrived was well-formed. The server may have executed the
    /// request, or ended while it did.
    disconnected,
    /// The connection failed in another way, or the response was malformed or over a limit. The
    /// server may have executed the request.
    broken
};

class response_budget;
[[nodiscard]] const char* to_string(call_result result);

/// An HTTP client that runs on the event loop of the thread that created it.
///
/// It writes a request to one connection at most, and never a second time: whether to send it again
/// is the caller's decision. Connections are kept open for later requests.
class client {
public:
    struct parameters {
        response_limits limits;
        /// With a zero interval the client reads response data as it arrives. Otherwise it reads
        /// once per interval, which costs less if many long responses arrive in small parts.
        duration read_interval{};
        /// Shared by the clients of a task. A client without one has its own.
        std::shared_ptr<response_budget> budget = nullptr;
        /// A call whose connection is not open by then ends as `unreachable`. With zero, the kernel
        /// decides when to give up.
        duration open_timeout{};
        /// See `callbacks::on_silent`.
        duration silence_limit = std::chrono::milliseconds(300);
    };

    struct callbacks {
        /// Called just before the request is written to a socket.
        std::function<void()> on_write_started;
        std::function<void(const response_head&)> on_head;
        std::function<void(std::string_view)> on_data;
        /// Called once, and no other callback follows.
        std::function<void(call_result, const std::string& reason)> on_complete;
        /// Called when a new connection has been established, with the time that it took. May be
        /// null.
        std::function<void(duration opening)> on_open = nullptr;
        /// Called at most once, and the call goes on: for `silence_limit`, the server's kernel has
        /// acknowledged nothing, although part of the request is in flight, and no byte of a
        /// response has arrived. A server whose kernel acknowledges the request but that does not
        /// respond, or whose receive window is full, is not silent. Never called if the system does
        /// not report what is unacknowledged. May be null.
        std::function<void()> on_silent = nullptr;
    };

    /// A call in progress. The destructor cancels it and calls none of the callbacks.
    class call {
    public:
        ~call();
        call(const call&) = delete;
        call& operator=(const call&) = delete;

        /// Reads and discards the rest of the response, so that the connection can be reused. Calls
        /// no callback, and continues after this object is destroyed. Closes the
        /// connection if the rest is longer than 64 KiB or takes more than 5 s.
        void drain();

        /// Says that of what was received so far, the caller holds this many bytes only. Until the
        /// first use of this function, and for what is received after the last one, it counts as
        /// holding everything.
        void set_held_bytes(std::size_t bytes);

        /// While the call is paused, nothing more is read of its response, and its server has to
        /// wait. What was read already may still be delivered.
        void set_paused(bool is_paused);

    private:
        friend class client;
        class state;
        explicit call(std::shared_ptr<state> new_state);
        std::shared_ptr<state> impl;
    };

    /// `time` has to outlive the client.
    explicit client(const clock& time);
    client(const clock& time, const parameters& settings);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Starts the call in the event loop's next iteration. If the request can't be sent as given,
    /// it ends as `unreachable`, before this function returns.
    [[nodiscard]] std::unique_ptr<call> start(const request& outgoing, callbacks notify);

    /// Whether a repeatable request to the server would use a kept connection.
    [[nodiscard]] bool has_idle(const endpoint& server) const;
    /// Closes the kept connections to the server; calls in progress are not affected.
    void close_idle(const endpoint& server);

    [[nodiscard]] const response_budget& budget() const;

private:
    class shared_state;
    std::shared_ptr<shared_state> impl;
};

} // namespace kingcupcart::http
