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

/// Options of a stand-in engine.
struct engine_options {
    target_options target;
    /// Time from a request's arrival to the first token.
    duration first_token_delay = std::chrono::milliseconds(5);
    duration token_interval = std::chrono::milliseconds(2);
    /// Version of the weights, as announced and as named in each event.
    std::uint64_t weight_version = 1;
};

/// A stand-in for an inference engine in tests. It serves the completions API and the chat
/// completions API as server-sent events, one token in each, with the version of the weights. It
/// resumes at the token that the request names, and stops generating when its client disconnects.
/// `/counts` returns the numbers of started and cancelled streams.
class stand_in_engine {
public:
    /// Makes the target announce that it is leaving.
    struct leave_request {};
    using message = std::variant<leave_request>;
    using parameters = engine_options;

    /// Listens on a free port of 127.0.0.1 and starts to announce the target. Fails if it can't
    /// listen.
    static outcome<std::unique_ptr<stand_in_engine>> open(const engine_options& options);
    ~stand_in_engine();
    stand_in_engine(const stand_in_engine&) = delete;
    stand_in_engine& operator=(const stand_in_engine&) = delete;

    void handle(message incoming);
    [[nodiscard]] const endpoint& address() const { return this->server->address(); }
    /// Stops serving, and calls back once all running responses have been sent.
    void begin_stop(std::function<void()> on_stopped) {
        this->server->begin_stop(std::move(on_stopped));
    }

private:
    struct stream {
        std::unique_ptr<http::exchange> exchange;
        std::string prompt;
        bool is_chat = false;
        /// Position of the next token.
        std::int64_t position = 0;
        /// Number of tokens of the complete response.
        std::int64_t token_count = 0;
        std::unique_ptr<task::wakeup> timer;
    };

    explicit stand_in_engine(const engine_options& options);
    void handle_request(std::unique_ptr<http::exchange> exchange);
    void start_completion(std::unique_ptr<http::exchange> exchange, bool is_chat);
    void write_token(std::uint64_t stream_id);
    void remove_stream(std::uint64_t stream_id);

    engine_options options;
    announcer target_announcer;
    std::map<std::uint64_t, stream> streams;
    std::uint64_t last_stream_id = 0;
    std::uint64_t streams_started = 0;
    std::uint64_t streams_cancelled = 0;
    /// Timers of removed streams. A stream may be removed in its timer's callback, which must not
    /// destroy the timer, so the next token destroys it.
    std::vector<std::unique_ptr<task::wakeup>> pending_deletion;
    std::unique_ptr<http::server> server;
};

} // namespace kingcupcart::stand_ins
