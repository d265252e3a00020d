#include "relaying/tests/relaying_fleet.h"

#include <doctest/doctest.h>

#include <utility>
#include <variant>

namespace kingcupcart::relaying {

namespace {

const location place{failure_domain_id("a"), region_id("north")};

wire::hello make_hello(const instance_id& id) {
    wire::hello hello;
    hello.instance = id;
    hello.place = place;
    hello.role = wire::instance_role::gateway;
    return hello;
}

double read_metric(const telemetry::metric_set& metrics, const std::string& name) {
    const std::string text = "\n" + metrics.exposition();
    const auto at = text.find("\nkingcupcart_" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(text.find(' ', at) + 1));
}

} // namespace

test_relay::test_relay(const clock& time, std::string name, std::size_t max_calls,
                       std::shared_ptr<http::caller_budget> budget)
    : id(std::move(name)) {
    relay_server::parameters arguments;
    arguments.address = {"127.0.0.1", 0};
    arguments.time = &time;
    arguments.make_hello = [this] { return make_hello(this->id); };
    arguments.metrics = &this->metrics;
    arguments.on_call = [this](wire::relayed_call_request request,
                               std::shared_ptr<relayed_exchange> exchange) {
        received_call& call =
            this->calls.emplace_back(received_call{std::move(request), std::move(exchange)});
        call.exchange->on_cancel([&call] { call.is_cancelled = true; });
    };
    arguments.on_idle = [this] { ++this->idle_count; };
    arguments.max_calls = max_calls;
    arguments.budget = std::move(budget);
    auto opened = value_or_error([&] { return relay_server::open(std::move(arguments)); });
    REQUIRE(std::holds_alternative<std::unique_ptr<relay_server>>(opened));
    this->server = std::get<std::unique_ptr<relay_server>>(std::move(opened));
}

wire::relay_candidate test_relay::candidate() const {
    return {this->id, this->server->address(), place};
}

relaying_fleet::relaying_fleet() {
    this->loop.enter();
    this->answer = std::make_unique<task::wakeup>([this] {
        while (!this->responses.empty()) {
            const wire::relay_lookup_response response = this->responses.front();
            this->responses.pop_front();
            this->client->handle(response);
        }
    });
    relay_client::parameters arguments;
    arguments.time = &this->time;
    arguments.make_hello = [] { return make_hello(instance_id("asker")); };
    arguments.place = place;
    arguments.self = instance_id("asker");
    arguments.ask_keeper = [this](const wire::message& message) {
        ++this->lookups;
        const auto& request = std::get<wire::relay_lookup_request>(message);
        if (this->is_keeper_reachable && this->does_keeper_answer) {
            this->responses.push_back({request.lookup, this->candidates});
            this->answer->arm_now();
        }
        return this->is_keeper_reachable;
    };
    arguments.metrics = &this->metrics;
    this->client = std::make_unique<relay_client>(std::move(arguments));
}

relaying_fleet::~relaying_fleet() {
    this->client.reset();
    this->relays.clear();
    this->answer.reset();
    while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
    }
    this->loop.leave();
}

test_relay& relaying_fleet::add_relay(const std::string& id, std::size_t max_calls,
                                      std::shared_ptr<http::caller_budget> budget) {
    auto& relay = this->relays[id];
    relay = std::make_unique<test_relay>(this->time, id, max_calls, std::move(budget));
    this->candidates.push_back(relay->candidate());
    return *relay;
}

void relaying_fleet::name(const std::string& id, const endpoint& address) {
    this->candidates.push_back({instance_id(id), address, place});
}

std::unique_ptr<test_call> relaying_fleet::start(const wire::relayed_call_request& request,
                                                 const std::vector<instance_id>& passed_over) {
    auto started = std::make_unique<test_call>();
    test_call& call = *started;
    relay_client::call_callbacks notify;
    notify.on_sent = [&call] { call.is_sent = true; };
    notify.on_head = [&call](const http::response_head& head, bool is_stream) {
        call.head = head;
        call.is_stream = is_stream;
    };
    notify.on_data = [&call](std::string_view data) {
        call.parts.emplace_back(data);
        call.body += data;
    };
    notify.on_complete = [&call](relay_result result, const std::string& reason,
                                 duration retry_after) {
        CHECK(!call.result);
        call.result = result;
        call.reason = reason;
        call.retry_after = retry_after;
    };
    call.handle = this->client->start(request, passed_over, std::move(notify));
    return started;
}

bool relaying_fleet::run_until(const std::function<bool()>& condition, duration max_time) {
    bool is_over = false;
    task::wakeup timeout([&] { is_over = true; });
    timeout.arm(system_clock().now() + max_time);
    while (!condition() && !is_over) {
        g_main_context_iteration(this->loop.context(), TRUE);
        ++this->iterations;
    }
    return condition();
}

void relaying_fleet::run_for(duration time) {
    this->run_until([] { return false; }, time);
}

double relaying_fleet::metric(const std::string& name) const {
    return read_metric(this->metrics, name);
}

wire::relayed_call_request make_request(const std::string& name, std::string body) {
    wire::relayed_call_request request;
    request.name = name;
    request.host = "shop";
    request.method = "POST";
    request.path = "/app?x=1";
    request.headers = {{"X-Caller", "c"}};
    request.body = std::move(body);
    request.max_wait = std::chrono::seconds(3);
    request.backend = backend_name("app");
    return request;
}

} // namespace kingcupcart::relaying
