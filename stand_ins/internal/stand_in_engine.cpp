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
    std::unique_ptr<stand_in_engine> made(new stand_in_engine(options));
    BOOST_LEAF_ASSIGN(made->server,
                      http::server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                         [self = made.get()](std::unique_ptr<http::exchange> one) {
                                             self->arrived(std::move(one));
                                         }));
    made->announcing.start(made->server->address());
    return made;
}

stand_in_engine::stand_in_engine(const engine_options& options)
    : options(options),
      announcing(
          options.target, "engine", [this] { return static_cast<int>(this->streams.size()); },
          [this] { return this->options.version; }) {}

stand_in_engine::~stand_in_engine() = default;

void stand_in_engine::handle(message /*incoming*/) {
    this->announcing.leave();
}

void stand_in_engine::arrived(std::unique_ptr<http::exchange> exchange) {
    const std::string path = exchange->plain_path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        this->complete(std::move(exchange), path == "/v1/chat/completions");
    } else if (path == "/counts") {
        exchange->respond(status_ok, "application/json",
                          json{{"started", this->started}, {"cancelled", this->cancelled}}.dump());
    } else {
        exchange->respond(status_not_found, "text/plain", "no such path\n");
    }
}

void stand_in_engine::complete(std::unique_ptr<http::exchange> exchange, bool is_chat) {
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object()) {
        exchange->respond(status_bad_request, "application/json", R"({"error":"no JSON object"})");
        return;
    }
    const std::uint64_t number = ++this->last_stream;
    ++this->started;
    stream& made = this->streams[number];
    made.is_chat = is_chat;
    made.prompt = is_chat ? body["messages"].back()["content"].get<std::string>()
                          : body["prompt"].get<std::string>();
    made.end = body.value("max_tokens", default_tokens);
    if (body.contains("resume")) {
        made.position = body["resume"]["tokens"].get<std::int64_t>();
    }
    made.exchange = std::move(exchange);
    made.exchange->on_left([this, number] {
        ++this->cancelled;
        this->remove(number);
    });
    made.exchange->begin_stream(status_ok, "text/event-stream");
    made.timer = std::make_unique<task::wakeup>([this, number] { this->produce(number); });
    made.timer->arm(std::chrono::steady_clock::now() + this->options.first_token);
}

void stand_in_engine::produce(std::uint64_t number) {
    this->retired.clear();
    stream& current = this->streams.at(number);
    const bool is_last = current.position + 1 >= current.end;
    json choice{{"index", 0}, {"finish_reason", is_last ? json("length") : json(nullptr)}};
    const std::string text = expected_token(current.prompt, current.position);
    if (current.is_chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    const json event{{"choices", json::array({choice})}, {"weight_version", this->options.version}};
    ++current.position;
    if (!is_last) {
        current.timer->arm(std::chrono::steady_clock::now() + this->options.token_interval);
        current.exchange->write("data: " + event.dump() + "\n\n");
        return;
    }
    current.exchange->write("data: " + event.dump() + "\n\ndata: [DONE]\n\n");
    current.exchange->end_stream();
    this->remove(number);
}

void stand_in_engine::remove(std::uint64_t number) {
    // The timer may be the one that is calling.
    this->streams.at(number).timer->disarm();
    this->retired.push_back(std::move(this->streams.at(number).timer));
    this->streams.erase(number);
}

} // namespace kingcupcart::stand_ins
