#pragma once

#include "base/header_field.h"

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::http {

/// One request that a server received, and the way to answer it: either whole by `respond`, or in
/// parts by `begin_stream`, `write` and `end_stream`. Unanswered exchanges stay open.
class exchange {
public:
    explicit exchange(SoupServerMessage* message);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    [[nodiscard]] std::string method() const;
    /// Path with its query.
    [[nodiscard]] std::string path() const;
    /// Path alone.
    [[nodiscard]] std::string plain_path() const;
    /// Empty where the header is missing.
    [[nodiscard]] std::string header(const char* name) const;
    [[nodiscard]] std::vector<header_field> headers() const;
    [[nodiscard]] std::string body() const;
    /// The caller's IP number.
    [[nodiscard]] std::string remote_address() const;

    /// Calls back, at most once, when the caller goes before it has its whole answer.
    void on_left(std::function<void()> callback);

    void add_header(const char* name, const std::string& value);
    void respond(int status, const std::string& content_type, std::string_view body);
    void begin_stream(int status, const std::string& content_type);
    void write(std::string_view part);
    void end_stream();

    [[nodiscard]] bool is_streaming() const;

private:
    class state;
    std::shared_ptr<state> self;
};

} // namespace kingcupcart::http
