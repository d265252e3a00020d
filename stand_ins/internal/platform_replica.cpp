#include "stand_ins/platform_replica.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iterator>
#include <utility>

namespace kingcupcart::stand_ins {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_server_error = 500;
constexpr int status_accepted = 202;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;
constexpr std::int64_t body_limit = 1 << 20;
/// Maximum number of retained heartbeat calls; beyond it, the oldest half is cancelled.
constexpr std::ptrdiff_t max_heartbeat_calls = 40;
/// Start time that all replicas report, in milliseconds since the Unix epoch.
constexpr std::uint64_t start_time_ms = 1700000000000;

} // namespace

std::string expected_event(const std::string& item, int number) {
    return item + "-" + std::to_string(number);
}

platform_replica::platform_replica(parameters arguments)
    : params(std::move(arguments)),
      write_timer([this] { this->write_events(); }),
      response_timer([this] { this->answer_due_requests(); }),
      client(this->time) {}

outcome<std::unique_ptr<platform_replica>> platform_replica::open(const parameters& arguments) {
    std::unique_ptr<platform_replica> replica(new platform_replica(arguments));
    BOOST_LEAF_ASSIGN(
        replica->server,
        http::server::open(arguments.address, body_limit,
                           [handler = replica.get()](std::unique_ptr<http::exchange> exchange) {
                               handler->handle_request(std::move(exchange));
                           }));
    replica->params.address = replica->server->address();
    return replica;
}

void platform_replica::send_heartbeat(const std::string& state) {
    json body{{"service", this->params.service},
              {"address", this->params.address.to_string()},
              {"zone", "local"},
              {"version", this->params.software},
              {"slots", this->params.slots},
              {"state", state},
              {"coldLeftMs", 0},
              {"born", this->params.started_at_ms},
              {"seq", ++this->heartbeats_sent}};
    if (!this->params.model.empty()) {
        body["models"] =
            json::array({{{"name", this->params.model}, {"version", this->loaded_version}}});
    }
    http::request post_request;
    post_request.method = "POST";
    post_request.url = "http://" + this->params.keeper.to_string() + "/kingcupcart/replicas/" +
                       this->params.id + "/heartbeat";
    post_request.content_type = "application/json";
    post_request.body = body.dump();
    if (std::ssize(this->heartbeat_calls) > max_heartbeat_calls) {
        this->heartbeat_calls.erase(this->heartbeat_calls.begin(),
                                    this->heartbeat_calls.begin() + max_heartbeat_calls / 2);
    }
    this->heartbeat_calls.push_back(this->client.start(
        post_request, {[] {}, [](const auto&) {}, [](auto) {}, [](auto, const auto&) {}}));
}

void platform_replica::handle_request(std::unique_ptr<http::exchange> exchange) {
    if (this->says_leaving) {
        exchange->add_header("Server-Leaving", "1");
    }
    if (!this->limit.empty()) {
        exchange->add_header("Server-Limit", this->limit);
    }
    const std::string expected = exchange->header("X-Expect-Instance");
    if (!expected.empty() && expected != this->params.id) {
        exchange->respond(status_misdirected, "text/plain", "");
    } else if (exchange->path_without_query() == "/kingcupcart/order") {
        this->handle_load_order(*exchange);
    } else if (exchange->path_without_query() == "/kingcupcart/report") {
        this->send_report(*exchange);
    } else {
        this->run_request(std::move(exchange));
    }
}

void platform_replica::handle_load_order(http::exchange& exchange) {
    const json load_order = json::parse(exchange.body());
    if (load_order.contains("expected") && load_order["expected"] != this->accepted_orders) {
        exchange.respond(status_conflict, "text/plain", "");
        return;
    }
    ++this->accepted_orders;
    this->loaded_version = load_order["version"];
    exchange.respond(status_accepted, "text/plain", "");
}

void platform_replica::send_report(http::exchange& exchange) const {
    const json models =
        json::array({{{"name", this->params.model}, {"version", this->loaded_version}}});
    const json report_body{{"models", models}, {"busy", false}, {"seq", this->accepted_orders}};
    exchange.respond(status_ok, "application/json", report_body.dump());
}

void platform_replica::run_request(std::unique_ptr<http::exchange> exchange) {
    const std::string identifier = exchange->header("X-Request-Id");
    this->executed_requests.push_back(identifier);
    this->headers_by_request[identifier] = exchange->headers();
    this->arrival_times.push_back(this->time.now());
    exchange->add_header("X-Request-Id", identifier);
    exchange->add_header("X-Server-Stamp", "stamp-of-" + this->params.id);
    if (this->params.model.empty()) {
        this->run_service_request(std::move(exchange));
        return;
    }
    const int last_received_event = std::atoi(exchange->header("Last-Event-Id").c_str());
    if (last_received_event < this->params.events) {
        exchange->add_header("X-Weight-Versions", std::to_string(this->loaded_version));
        this->item_versions[identifier].insert(this->loaded_version);
    }
    exchange->on_disconnect(
        [this, identifier] { this->disconnected_streams.push_back(identifier); });
    exchange->begin_stream(status_ok, "text/event-stream");
    const bool is_interrupted =
        this->responses_to_interrupt > 0 && this->responses_to_interrupt-- > 0;
    open_stream opened_stream{std::move(exchange),
                              identifier,
                              last_received_event,
                              is_interrupted ? this->events_before_interrupt : this->params.events,
                              is_interrupted,
                              this->params.events_state_software ? this->params.software + " "
                                                                 : std::string()};
    if (this->params.event_interval == duration::zero()) {
        while (write_event(opened_stream)) {
        }
        return;
    }
    this->streams.push_back(std::move(opened_stream));
    if (this->streams.size() == 1) {
        this->write_timer.arm(std::chrono::steady_clock::now() + this->params.event_interval);
    }
}

void platform_replica::run_service_request(std::unique_ptr<http::exchange> exchange) {
    const std::string& fatal_text = this->params.fatal_text;
    if (!fatal_text.empty() && exchange->body().find(fatal_text) != std::string::npos) {
        const std::string identifier = exchange->header("X-Request-Id");
        this->held_exchanges.push_back(std::move(exchange));
        this->params.on_fatal_run(identifier);
    } else if (this->holds_responses) {
        this->held_exchanges.push_back(std::move(exchange));
    } else if (this->requests_to_fail > 0) {
        --this->requests_to_fail;
        exchange->respond(status_server_error, "text/plain", "failed");
    } else if (this->params.response_time > duration::zero()) {
        this->running_exchanges.emplace_back(this->time.now() + this->params.response_time,
                                             std::move(exchange));
        this->response_timer.arm(this->running_exchanges.front().first);
    } else {
        exchange->respond(status_ok, "text/plain", "ran " + exchange->body());
    }
}

void platform_replica::answer_due_requests() {
    while (!this->running_exchanges.empty() &&
           this->running_exchanges.front().first <= this->time.now()) {
        const auto due = std::move(this->running_exchanges.front().second);
        this->running_exchanges.pop_front();
        due->respond(status_ok, "text/plain", "ran " + due->body());
    }
    if (!this->running_exchanges.empty()) {
        this->response_timer.arm(this->running_exchanges.front().first);
    }
}

std::uint64_t platform_replica::start_time() {
    return start_time_ms;
}

void platform_replica::answer_held_requests() {
    for (const auto& held : std::exchange(this->held_exchanges, {})) {
        held->respond(status_ok, "text/plain", "ran " + held->body());
    }
}

void platform_replica::write_events() {
    std::erase_if(this->streams, [](open_stream& stream) { return !write_event(stream); });
    if (!this->streams.empty()) {
        this->write_timer.arm(std::chrono::steady_clock::now() + this->params.event_interval);
    }
}

bool platform_replica::write_event(open_stream& stream) {
    if (stream.events_written < stream.last_event) {
        const std::string number = std::to_string(++stream.events_written);
        stream.exchange->write("id: " + number + "\ndata: " + stream.prefix +
                               expected_event(stream.identifier, stream.events_written) + "\n\n");
        return true;
    }
    if (!stream.is_interrupted) {
        stream.exchange->end_stream();
    }
    return false;
}

} // namespace kingcupcart::stand_ins
