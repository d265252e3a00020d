#pragma once

#include "base/clock.h"
#include "http/client.h"
#include "http/internal/connection.h"
#include "http/internal/request_encoder.h"
#include "http/internal/response_parser.h"
#include "http/response_budget.h"
#include "task/timer.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace kingcupcart::http {

/// A call from its start to its end: connects or takes an idle connection, writes the request and
/// reads the response. The client keeps it while it has a connection.
class client::call::state : public std::enable_shared_from_this<client::call::state> {
public:
    state(const request& outgoing, callbacks notify, std::shared_ptr<shared_state> owner);
    ~state();
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void set_request(encoded_request encoded) { this->outgoing = std::move(encoded); }
    void start();
    /// Closes the connection unless the call drains it; calls none of the callbacks.
    void cancel();
    /// Closes the connection; calls none of the callbacks.
    void abort();
    void drain();
    void set_held_bytes(std::size_t bytes);
    void set_paused(bool is_paused);
    /// Ends the call and notifies the owner, unless it has cancelled the call.
    void finish(call_result result, const std::string& reason);

private:
    void start_connecting();
    void start_writing();
    /// Ends the call if its connection is not open yet.
    void check_opening();
    /// Notifies the owner if the server's kernel does not acknowledge the request.
    void check_acknowledgement();
    [[nodiscard]] bool is_silent(const connection::send_state& sending) const;
    void write_some();
    void on_ready();
    /// Reads a bounded number of bytes, so that one connection can't keep the event loop busy.
    void read_some();
    /// Returns false if nothing more is to be read now.
    bool read_once();
    void process_response();
    void deliver_body();
    void complete();
    /// Ends the call as broken because its response exceeds a limit.
    void cut(const std::string& reason);
    /// Updates the call's share of the budget.
    void count_held();
    void close_connection();

    std::shared_ptr<shared_state> owner;
    callbacks notify;
    encoded_request outgoing;
    response_parser parser;
    response_budget::share budget_share;
    task::timer drain_timer;
    /// Armed while the connection opens.
    task::timer opening_timer;
    /// Armed from the first write until the server's kernel has acknowledged the request.
    task::timer silence_timer;
    std::unique_ptr<connection> link;
    std::size_t max_response_bytes;
    duration open_timeout;
    time_point dialled_at{};
    std::size_t written_bytes = 0;
    std::size_t received_bytes = 0;
    /// Part of the body that the owner holds.
    std::size_t owner_bytes = 0;
    std::size_t drained_bytes = 0;
    bool is_repeatable;
    bool is_connecting = false;
    bool has_write_failed = false;
    bool has_delivered_head = false;
    /// The owner receives no callback any more.
    bool is_over = false;
    bool is_draining = false;
    bool is_paused = false;
};

} // namespace kingcupcart::http
