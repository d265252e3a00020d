#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "http/response_head.h"
#include "relaying/relayed_exchange.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
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

    /// Sends as much as the link and the window take.
    void flush();
    /// The origin's caller took so many bytes; 0 acknowledges the end of the call.
    void taken(std::uint64_t bytes);
    /// Calls back unless the response is complete, and discards it.
    void cancel();

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
    /// The end or failure, sent after the parts.
    std::optional<wire::message> last;
    bool has_begun_stream = false;
    bool is_last_sent = false;
    bool closed = false;
};

} // namespace kingcupcart::relaying
