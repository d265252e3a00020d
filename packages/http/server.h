#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace kingcupcart::http {

class exchange;

/// An HTTP server on the loop of the thread that made it.
class server {
public:
    using handler = std::function<void(std::unique_ptr<exchange>)>;

    /// Fails with `input_output` where the address can't be bound. A body over `body_limit` bytes
    /// is refused with status 413.
    static outcome<std::unique_ptr<server>> open(const endpoint& address, std::int64_t body_limit,
                                                 handler requested);

    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// The bound address, with the port that the kernel chose for port 0.
    [[nodiscard]] const endpoint& address() const { return this->bound; }

    /// From now on each answer closes its connection. Calls back once no request is received,
    /// handled or answered any more, at once where that is so already.
    void begin_stop(std::function<void()> idle);
    [[nodiscard]] bool is_idle() const { return this->open_requests == 0; }

private:
    server(SoupServer* soup, endpoint bound, std::int64_t body_limit, handler requested);
    static void arriving(SoupServer* soup, SoupServerMessage* message, const char* path,
                         GHashTable* query, gpointer data);
    static void arrived(SoupServer* soup, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
    static void request_started(SoupServer* soup, SoupServerMessage* message, gpointer data);
    static void request_ended(SoupServer* soup, SoupServerMessage* message, gpointer data);
    void check_idle();
    static void got_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data);

    SoupServer* soup;
    endpoint bound;
    std::int64_t body_limit;
    handler requested;
    int open_requests = 0;
    std::function<void()> idle;
};

} // namespace kingcupcart::http
