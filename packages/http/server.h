#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "task/wakeup.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

namespace kingcupcart::http {

class buffered_message;
class caller_budget;
class exchange;

/// An HTTP server that runs on the event loop of the thread that created it.
class server {
public:
    using handler = std::function<void(std::unique_ptr<exchange>)>;
    /// May respond to a request of which only the head has arrived.
    using head_check = std::function<void(exchange&)>;

    /// Fails with `input_output` if the address can't be bound. The server rejects a body longer
    /// than `body_limit` bytes with status 413; if the body is chunked, it closes the connection
    /// once the chunks exceed the limit. What it holds for callers counts in the budget, which the
    /// servers of a task share; null is without limit.
    static outcome<std::unique_ptr<server>> open(const endpoint& address, std::int64_t body_limit,
                                                 handler on_request,
                                                 std::shared_ptr<caller_budget> budget = nullptr);

    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Calls `check` with the head of each request. If it responds, the response is sent at once,
    /// and the handler is not called. If a body follows, it is not waited for, and the connection
    /// closes.
    void check_heads(head_check check) { this->on_head = std::move(check); }

    /// The bound address, with the port that the kernel chose for port 0.
    [[nodiscard]] const endpoint& address() const { return this->bound; }

    /// From now on each response whose head is not written yet carries `Connection: close`, and the
    /// server closes the connection after it.
    void close_connections();
    /// Does the same. `on_idle` is called once no request is open, and immediately if none is.
    void begin_stop(std::function<void()> on_idle);
    /// Closes the listening socket and all connections, also those with an open request.
    void close();
    [[nodiscard]] bool is_idle() const { return this->open_requests.empty(); }

private:
    server(SoupServer* soup, endpoint bound, std::int64_t body_limit, handler on_request,
           std::shared_ptr<caller_budget> budget);
    static void handle_headers(SoupServer* soup, SoupServerMessage* message, const char* path,
                               GHashTable* query, gpointer data);
    static void handle_request(SoupServer* soup, SoupServerMessage* message, const char* path,
                               GHashTable* query, gpointer data);
    static void request_started(SoupServer* soup, SoupServerMessage* message, gpointer data);
    static void request_ended(SoupServer* soup, SoupServerMessage* message, gpointer data);
    void check_idle();
    static void announce_close(SoupServerMessage* message);
    void check_head(SoupServerMessage* message);
    /// Sends the message's response although its body has not arrived.
    void respond_before_body(SoupServerMessage* message);
    /// Closes the connections whose callers had time to read such a response.
    void close_refused();

    SoupServer* soup;
    endpoint bound;
    std::int64_t body_limit;
    handler on_request;
    /// Null if heads are not checked.
    head_check on_head;
    /// Requests that were answered before their body, and when their connections are closed.
    std::deque<std::pair<time_point, SoupServerMessage*>> refused;
    task::wakeup refused_timer;
    std::shared_ptr<caller_budget> budget;
    std::unordered_map<SoupServerMessage*, std::shared_ptr<buffered_message>> open_requests;
    bool is_closing = false;
    std::function<void()> on_idle;
};

} // namespace kingcupcart::http
