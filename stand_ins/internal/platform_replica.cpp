#include "stand_ins/platform_replica.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iterator>
#include <utility>

namespace kingcupcart::stand_ins {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;
constexpr std::int64_t body_limit = 1 << 20;
/// Heartbeats whose end is waited for; older ones are given up.
constexpr std::ptrdiff_t beats_kept = 40;
constexpr std::uint64_t born = 1700000000000;

} // namespace

std::string platform_event(const std::string& item, int number) {
    return item + "-" + std::to_string(number);
}

platform_replica::platform_replica(parameters arguments)
    : params(std::move(arguments)), writing([this] { this->write_events(); }) {}

outcome<std::unique_ptr<platform_replica>> platform_replica::open(const parameters& arguments) {
    std::unique_ptr<platform_replica> made(new platform_replica(arguments));
    BOOST_LEAF_ASSIGN(
        made->server,
        http::server::open(arguments.address, body_limit,
                           [self = made.get()](std::unique_ptr<http::exchange> exchange) {
                               self->take(std::move(exchange));
                           }));
    made->params.address = made->server->address();
    return made;
}

void platform_replica::beat(const std::string& state) {
    json body{{"service", this->params.service},
              {"address", this->params.address.to_string()},
              {"zone", "local"},
              {"version", "v1"},
              {"slots", this->params.slots},
              {"state", state},
              {"coldLeftMs", 0},
              {"born", born},
              {"seq", ++this->beats}};
    if (!this->params.model.empty()) {
        body["models"] = json::array({{{"name", this->params.model}, {"version", this->weights}}});
    }
    http::request wanted;
    wanted.method = "POST";
    wanted.url = "http://" + this->params.keeper.to_string() + "/kingcupcart/replicas/" +
                 this->params.id + "/heartbeat";
    wanted.content_type = "application/json";
    wanted.body = body.dump();
    if (std::ssize(this->calls) > beats_kept) {
        this->calls.erase(this->calls.begin(), this->calls.begin() + beats_kept / 2);
    }
    this->calls.push_back(this->client.start(
        wanted, {[] {}, [](const auto&) {}, [](auto) {}, [](auto, const auto&) {}}));
}

void platform_replica::take(std::unique_ptr<http::exchange> exchange) {
    const std::string expected = exchange->header("X-Expect-Instance");
    if (!expected.empty() && expected != this->params.id) {
        exchange->respond(status_misdirected, "text/plain", "");
    } else if (exchange->plain_path() == "/kingcupcart/order") {
        this->take_order(*exchange);
    } else if (exchange->plain_path() == "/kingcupcart/report") {
        this->report(*exchange);
    } else {
        this->run(std::move(exchange));
    }
}

void platform_replica::take_order(http::exchange& exchange) {
    const json order = json::parse(exchange.body());
    if (order.contains("expected") && order["expected"] != this->orders) {
        exchange.respond(status_conflict, "text/plain", "");
        return;
    }
    ++this->orders;
    this->weights = order["version"];
    exchange.respond(status_accepted, "text/plain", "");
}

void platform_replica::report(http::exchange& exchange) const {
    const json models = json::array({{{"name", this->params.model}, {"version", this->weights}}});
    const json said{{"models", models}, {"busy", false}, {"seq", this->orders}};
    exchange.respond(status_ok, "application/json", said.dump());
}

void platform_replica::run(std::unique_ptr<http::exchange> exchange) {
    const std::string name = exchange->header("X-Request-Id");
    this->requests.push_back(name);
    exchange->add_header("X-Request-Id", name);
    exchange->add_header("X-Server-Stamp", "stamp-of-" + this->params.id);
    if (this->params.model.empty()) {
        exchange->respond(status_ok, "text/plain", "ran " + exchange->body());
        return;
    }
    const int after = std::atoi(exchange->header("Last-Event-Id").c_str());
    if (after < this->params.events) {
        exchange->add_header("X-Weight-Versions", std::to_string(this->weights));
        this->item_versions[name].insert(this->weights);
    }
    exchange->begin_stream(status_ok, "text/event-stream");
    const bool is_broken = this->broken_answers > 0 && this->broken_answers-- > 0;
    open_stream begun{std::move(exchange), name, after,
                      is_broken ? this->broken_events : this->params.events, is_broken};
    if (this->params.event_interval == duration::zero()) {
        while (write_event(begun)) {
        }
        return;
    }
    this->streams.push_back(std::move(begun));
    if (this->streams.size() == 1) {
        this->writing.arm(std::chrono::steady_clock::now() + this->params.event_interval);
    }
}

void platform_replica::write_events() {
    std::erase_if(this->streams, [](open_stream& stream) { return !write_event(stream); });
    if (!this->streams.empty()) {
        this->writing.arm(std::chrono::steady_clock::now() + this->params.event_interval);
    }
}

bool platform_replica::write_event(open_stream& stream) {
    if (stream.written < stream.last) {
        const std::string number = std::to_string(++stream.written);
        stream.exchange->write("id: " + number +
                               "\ndata: " + platform_event(stream.name, stream.written) + "\n\n");
        return true;
    }
    if (!stream.is_broken) {
        stream.exchange->end_stream();
    }
    return false;
}

} // namespace kingcupcart::stand_ins
