#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "http/response_head.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupcart::relaying {

/// A call that another gateway has relayed to this one, and its response: sent whole by `respond`,
/// or in parts by `begin_stream`, `write` and `end_stream`. Destroying it before the response is
/// complete ends the call as one that may have run, visibly for the other side.
class relayed_exchange {
public:
    class state;

    explicit relayed_exchange(std::shared_ptr<state> new_state);
    ~relayed_exchange();
    relayed_exchange(const relayed_exchange&) = delete;
    relayed_exchange& operator=(const relayed_exchange&) = delete;

    /// The gateway that received the call from its caller.
    [[nodiscard]] const instance_id& origin() const;

    void respond(const http::response_head& head, std::string_view body);
    void begin_stream(const http::response_head& head);
    void write(std::string_view part);
    void end_stream();
    /// Ends the call without a response, or a stream before its end. The delay is that after which
    /// a retry may succeed; zero if unknown.
    void refuse(bool has_run, const std::string& reason, duration retry_after);

    /// Bytes of the body that the origin's caller has not taken yet.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Sets the callback for bytes that the origin's caller took.
    void on_sent(std::function<void()> callback);
    /// Sets the callback for a caller who has left, or a link that was lost, before the response is
    /// complete. It is called at most once.
    void on_cancel(std::function<void()> callback);

    [[nodiscard]] bool is_streaming() const;

private:
    std::shared_ptr<state> impl;
};

} // namespace kingcupcart::relaying
