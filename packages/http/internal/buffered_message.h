#pragma once

#include "http/caller_budget.h"
#include "task/g_pointer.h"

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace kingcupcart::http {

/// What libsoup buffers of one request while it arrives, and of its response, and the share of the
/// budget for both.
class buffered_message {
public:
    /// `body_limit` is in bytes. Without a budget, nothing is counted.
    buffered_message(SoupServerMessage* message, std::int64_t body_limit,
                     const std::shared_ptr<caller_budget>& budget);
    ~buffered_message();
    buffered_message(const buffered_message&) = delete;
    buffered_message& operator=(const buffered_message&) = delete;

    /// The response is sent already: what still arrives of the body is discarded.
    void discard_body();
    /// The request is complete, and its handler's to answer.
    void receive_complete();
    /// A whole response waits to be sent. It is held to its end.
    void add_response(std::size_t bytes);
    /// A part of a stream waits to be sent. It is held until it is sent.
    void add_stream_part(std::size_t bytes);
    /// Bytes of the body that were not passed to the system yet.
    [[nodiscard]] std::size_t unsent_bytes() const { return this->unsent; }
    /// The request has ended, and nothing is buffered for it any more.
    void end();

private:
    static void got_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data);
    static void wrote_body_data(SoupServerMessage* message, guint size, gpointer data);
    void count_held();
    /// Bytes of the request that arrived, and of the response that the caller's system has
    /// acknowledged, up to a constant.
    [[nodiscard]] std::int64_t moved_bytes() const;
    void close_connection(const std::string& reason);

    task::g_pointer<SoupServerMessage> message;
    std::int64_t body_limit;
    std::int64_t received_bytes = 0;
    bool is_received = false;
    std::size_t unsent = 0;
    std::size_t whole_bytes = 0;
    std::int64_t added_bytes = 0;
    bool has_ended = false;
    std::optional<caller_budget::share> share;
};

} // namespace kingcupcart::http
