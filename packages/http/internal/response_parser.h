#pragma once

#include "base/clock.h"
#include "base/response_limits.h"
#include "http/response_head.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupcart::http {

/// Parses one response from the bytes of its connection, without any I/O.
///
/// The end of a response is known from its framing alone: its last chunk, its length, or the end of
/// the connection if it has neither. Interim responses are skipped.
class response_parser {
public:
    /// A response to a HEAD request has no body, whatever its head announces.
    response_parser(const response_limits& limits, bool is_head_request);
    ~response_parser();
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    void feed(std::string_view bytes);
    /// The peer closed the connection; a connection that was reset is not finished but broken.
    void finish();

    [[nodiscard]] bool has_head() const;
    [[nodiscard]] const response_head& head() const;
    /// Returns and removes the part of the body that was parsed since the last call.
    [[nodiscard]] std::string take_body();
    [[nodiscard]] bool is_complete() const;
    /// Why the bytes are no response within the limits; empty unless parsing has failed.
    [[nodiscard]] const std::string& failure() const;
    /// Whether `failure` is a limit that the response exceeds.
    [[nodiscard]] bool is_over_limit() const;
    /// Memory of the head, and of what was received and is neither parsed nor taken, in bytes.
    [[nodiscard]] std::size_t buffered_bytes() const;
    /// Whether the bytes so far begin a response, or there are none.
    [[nodiscard]] bool is_well_formed() const;
    /// Whether parsing has failed only because the peer closed the connection too early.
    [[nodiscard]] bool is_cut_short() const;
    /// Whether another request may follow on the connection: the response is complete, no bytes
    /// followed it, and the peer does not close.
    [[nodiscard]] bool can_reuse_connection() const;
    /// How long the peer keeps an idle connection open; empty if it does not say.
    [[nodiscard]] std::optional<duration> keep_alive_time() const;

private:
    class state;
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::http
