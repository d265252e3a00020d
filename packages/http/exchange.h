#pragma once

#include "base/header_field.h"

#include <libsoup/soup.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::http {

class buffered_message;

/// A request that a server received, and its response: sent whole by `respond`, or in parts by
/// `begin_stream`, `write` and `end_stream`. The request stays open until the response is complete;
/// destroying the exchange earlier closes the connection.
class exchange {
public:
    /// What of the request has arrived. With the head alone, destroying the exchange without a
    /// response leaves the request open.
    enum class stage { head, complete };

    exchange(SoupServerMessage* message, std::shared_ptr<buffered_message> buffers,
             stage received = stage::complete);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    [[nodiscard]] std::string method() const;
    /// Path and query string.
    [[nodiscard]] std::string path() const;
    /// Path without the query string.
    [[nodiscard]] std::string path_without_query() const;
    /// Empty if the request has no such header.
    [[nodiscard]] std::string header(const char* name) const;
    [[nodiscard]] std::vector<header_field> headers() const;
    [[nodiscard]] std::string body() const;
    /// The client's IP address.
    [[nodiscard]] std::string remote_address() const;

    /// Sets the callback for a client that disconnects before the response is complete. It is
    /// called at most once.
    void on_disconnect(std::function<void()> callback);

    void add_header(const char* name, const std::string& value);
    void respond(int status, const std::string& content_type, std::string_view body);
    void begin_stream(int status, const std::string& content_type);
    void write(std::string_view part);
    void end_stream();
    /// Bytes written by `write` that were not passed to the system yet.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Sets the callback for bytes of a stream that were passed to the system.
    void on_sent(std::function<void()> callback);

    [[nodiscard]] bool is_streaming() const;
    /// Whether `respond` was called, or the end of a stream.
    [[nodiscard]] bool is_responded() const;

private:
    class state;
    std::shared_ptr<state> impl;
};

} // namespace kingcupcart::http
