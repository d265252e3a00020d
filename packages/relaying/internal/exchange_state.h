#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "http/caller_budget.h"
#include "http/response_head.h"
#include "relaying/relayed_exchange.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupcart::relaying {

/// The response to a relayed call on its way to the origin, shared by the handle and the server. It
/// keeps what the link and the origin's caller have not taken, also after the handle is gone.
class relayed_exchange::state {
public:
    struct functions {
        /// Returns false if the link takes no more at present.
        std::function<bool(const wire::message&)> send;
        /// A message waits until the link takes more.
        std::function<void()> stalled;
    };

    state(std::uint64_t call, instance_id origin, functions link);

    void begin(const http::response_head& head, bool is_stream);
    /// Appends a part of the body. Parts of a stream are not split.
    void append(std::string_view part);
    void end();
    void fail(bool may_have_run, const std::string& reason, duration retry_after);
    /// Ends the call as not run for a reason that lies in the call.
    void decline(const std::string& reason, duration retry_after);

    /// Sends as much as the link and the window take.
    void flush();
    /// The origin's caller took so many bytes; 0 acknowledges the end of the call.
    void taken(std::uint64_t bytes);
    /// Calls back unless the response is complete, and discards it.
    void cancel();
    /// Has what is held for the call, its request included, count in the budget. `cut` is called
    /// when it has to be given up; `discard` is to follow in a later iteration of the event loop.
    void set_budget(const std::shared_ptr<http::caller_budget>& budget, std::size_t request_bytes,
                    std::function<void(const std::string& reason)> cut);
    /// Gives up what waits to be sent, and ends the call visibly.
    void discard(const std::string& reason);

    [[nodiscard]] std::uint64_t number() const { return this->call; }
    [[nodiscard]] const instance_id& origin() const { return this->origin_id; }
    /// Whether the response is complete, though maybe not sent yet.
    [[nodiscard]] bool is_ended() const { return this->last.has_value(); }
    /// Whether the end was acknowledged, or the call was cancelled.
    [[nodiscard]] bool is_closed() const { return this->closed; }
    [[nodiscard]] bool is_streaming() const;
    [[nodiscard]] std::size_t unsent_bytes() const { return this->waiting_bytes + this->untaken; }

    std::function<void()> on_sent;
    std::function<void()> on_cancel;

private:
    void fail(wire::relayed_call_failure failure);
    void update_held();
    /// Calls back once, unless the response is complete.
    void notify_cancelled();

    std::uint64_t call;
    instance_id origin_id;
    functions link;
    /// Sent before the parts.
    std::optional<wire::relayed_response_head> head;
    std::deque<std::string> parts;
    /// Size of `parts`.
    std::size_t waiting_bytes = 0;
    /// Bytes that were sent and not taken.
    std::size_t untaken = 0;
    std::int64_t taken_bytes = 0;
    std::size_t request_bytes = 0;
    /// Set while anything may be held, if the server has a budget.
    std::optional<http::caller_budget::share> share;
    /// The end or failure, sent after the parts.
    std::optional<wire::message> last;
    bool has_begun_stream = false;
    bool is_last_sent = false;
    bool closed = false;
};

} // namespace kingcupcart::relaying
