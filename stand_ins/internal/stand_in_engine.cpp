#include "stand_ins/stand_in_engine.h"

#include "stand_ins/expected_text.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace kingcupcart::stand_ins {

namespace {

using nlohmann::json;

constexpr std::int64_t body_limit = std::int64_t{16} * 1024 * 1024;
constexpr std::int64_t default_tokens = 16;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

} // namespace

outcome<std::unique_ptr<stand_in_engine>> stand_in_engine::open(const engine_options& options) {
    std::unique_ptr<stand_in_engine> engine(new stand_in_engine(options));
    BOOST_LEAF_ASSIGN(
        engine->server,
        http::server::open(endpoint{"127.0.0.1", 0}, body_limit,
                           [handler = engine.get()](std::unique_ptr<http::exchange> exchange) {
                               handler->handle_request(std::move(exchange));
                           }));
    engine->target_announcer.start(engine->server->address());
    return engine;
}

stand_in_engine::stand_in_engine(const engine_options& options)
    : options(options),
      target_announcer(
          options.target, "engine", [this] { return static_cast<int>(this->streams.size()); },
          [this] { return this->options.weight_version; }) {}

stand_in_engine::~stand_in_engine() = default;

void stand_in_engine::handle(message /*incoming*/) {
    this->target_announcer.leave();
}

void stand_in_engine::handle_request(std::unique_ptr<http::exchange> exchange) {
    const std::string path = exchange->path_without_query();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        this->start_completion(std::move(exchange), path == "/v1/chat/completions");
    } else if (path == "/counts") {
        exchange->respond(
            status_ok, "application/json",
            json{{"started", this->streams_started}, {"cancelled", this->streams_cancelled}}
                .dump());
    } else {
        exchange->respond(status_not_found, "text/plain", "no such path\n");
    }
}

void stand_in_engine::start_completion(std::unique_ptr<http::exchange> exchange, bool is_chat) {
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object()) {
        exchange->respond(status_bad_request, "application/json",
                          R"({"error":"request body is not a JSON object"})");
        return;
    }
    const std::uint64_t stream_id = ++this->last_stream_id;
    ++this->streams_started;
    stream& added = this->streams[stream_id];
    added.is_chat = is_chat;
    added.prompt = is_chat ? body["messages"].back()["content"].get<std::string>()
                           : body["prompt"].get<std::string>();
    added.token_count = body.value("max_tokens", default_tokens);
    if (body.contains("resume")) {
        added.position = body["resume"]["tokens"].get<std::int64_t>();
    }
    added.exchange = std::move(exchange);
    added.exchange->on_disconnect([this, stream_id] {
        ++this->streams_cancelled;
        this->remove_stream(stream_id);
    });
    added.exchange->begin_stream(status_ok, "text/event-stream");
    added.timer =
        std::make_unique<task::wakeup>([this, stream_id] { this->write_token(stream_id); });
    added.timer->arm(std::chrono::steady_clock::now() + this->options.first_token_delay);
}

void stand_in_engine::write_token(std::uint64_t stream_id) {
    this->pending_deletion.clear();
    stream& current = this->streams.at(stream_id);
    const bool is_last = current.position + 1 >= current.token_count;
    json choice{{"index", 0}, {"finish_reason", is_last ? json("length") : json(nullptr)}};
    const std::string text = expected_token(current.prompt, current.position);
    if (current.is_chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    const json event{{"choices", json::array({choice})},
                     {"weight_version", this->options.weight_version}};
    ++current.position;
    if (!is_last) {
        current.timer->arm(std::chrono::steady_clock::now() + this->options.token_interval);
        current.exchange->write("data: " + event.dump() + "\n\n");
        return;
    }
    current.exchange->write("data: " + event.dump() + "\n\ndata: [DONE]\n\n");
    current.exchange->end_stream();
    this->remove_stream(stream_id);
}

void stand_in_engine::remove_stream(std::uint64_t stream_id) {
    // This may run in the timer's own callback, so the timer is destroyed later.
    this->streams.at(stream_id).timer->disarm();
    this->pending_deletion.push_back(std::move(this->streams.at(stream_id).timer));
    this->streams.erase(stream_id);
}

} // namespace kingcupcart::stand_ins
