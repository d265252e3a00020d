#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace kingcupcart::http {

class buffered_message;
class caller_budget;
class exchange;

/// An HTTP server that runs on the event loop of the thread that created it.
class server {
public:
    using handler = std::function<void(std::unique_ptr<exchange>)>;

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

    SoupServer* soup;
    endpoint bound;
    std::int64_t body_limit;
    handler on_request;
    std::shared_ptr<caller_budget> budget;
    std::unordered_map<SoupServerMessage*, std::shared_ptr<buffered_message>> open_requests;
    bool is_closing = false;
    std::function<void()> on_idle;
};

} // namespace kingcupcart::http
