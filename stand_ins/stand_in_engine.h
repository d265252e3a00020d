#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "http/exchange.h"
#include "http/server.h"
#include "stand_ins/announcer.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace kingcupcart::stand_ins {

/// Speed of a stand-in engine.
struct engine_options {
    target_options target;
    duration first_token = std::chrono::milliseconds(5);
    duration token_interval = std::chrono::milliseconds(2);
    std::uint64_t version = 1;
};

/// A model engine for tests: the completions API with server-sent events, a token at a time, each
/// naming its weight version; it resumes where it is told to and stops when its caller goes.
class stand_in_engine {
public:
    /// Announce that this target leaves.
    struct leave_request {};
    using message = std::variant<leave_request>;
    using parameters = engine_options;

    static outcome<std::unique_ptr<stand_in_engine>> open(const engine_options& options);
    ~stand_in_engine();
    stand_in_engine(const stand_in_engine&) = delete;
    stand_in_engine& operator=(const stand_in_engine&) = delete;

    void handle(message incoming);
    [[nodiscard]] const endpoint& address() const { return this->server->address(); }
    /// Calls back once everything that runs is answered and sent.
    void finish(std::function<void()> done) { this->server->begin_stop(std::move(done)); }

private:
    struct stream {
        std::unique_ptr<http::exchange> exchange;
        std::string prompt;
        bool is_chat = false;
        std::int64_t position = 0;
        std::int64_t end = 0;
        std::unique_ptr<task::wakeup> timer;
    };

    explicit stand_in_engine(const engine_options& options);
    void arrived(std::unique_ptr<http::exchange> exchange);
    void complete(std::unique_ptr<http::exchange> exchange, bool is_chat);
    void produce(std::uint64_t number);
    void remove(std::uint64_t number);

    engine_options options;
    announcer announcing;
    std::map<std::uint64_t, stream> streams;
    std::uint64_t last_stream = 0;
    std::uint64_t started = 0;
    std::uint64_t cancelled = 0;
    std::vector<std::unique_ptr<task::wakeup>> retired;
    std::unique_ptr<http::server> server;
};

} // namespace kingcupcart::stand_ins
