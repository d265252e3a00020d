#include "stand_ins/crashing_replica.h"

#include <utility>

namespace kingcupcart::stand_ins {

namespace {

constexpr duration heartbeat_interval = std::chrono::milliseconds(300);
/// Time until it tries to listen again while its address is still in use.
constexpr duration listen_retry_interval = std::chrono::milliseconds(100);
constexpr int slots = 10;

} // namespace

crashing_replica::crashing_replica(parameters arguments)
    : params(std::move(arguments)),
      crash_timer([this] { this->crash(); }),
      restart_timer([this] { this->restart(); }),
      heartbeat_timer([this] { this->send_heartbeat(); }) {}

outcome<std::unique_ptr<crashing_replica>> crashing_replica::open(parameters arguments) {
    std::unique_ptr<crashing_replica> replica(new crashing_replica(std::move(arguments)));
    BOOST_LEAF_CHECK(replica->start());
    replica->send_heartbeat();
    return replica;
}

outcome<void> crashing_replica::start() {
    platform_replica::parameters arguments;
    arguments.id = this->params.name + "-" + std::to_string(this->starts + 1);
    arguments.service = this->params.service;
    arguments.address = this->params.address;
    arguments.keeper = this->params.keeper;
    arguments.slots = slots;
    arguments.started_at_ms += this->starts;
    arguments.response_time = this->params.response_time;
    arguments.fatal_text = this->params.fatal_text;
    arguments.on_fatal_run = [this](const std::string& request) {
        const time_point now = std::chrono::steady_clock::now();
        this->fatal_run_times.push_back(now);
        this->fatal_request_ids.push_back(request);
        this->crash_timer.arm(now + this->params.time_to_crash);
    };
    BOOST_LEAF_ASSIGN(this->running, platform_replica::open(arguments));
    this->params.address = this->running->address();
    ++this->starts;
    return {};
}

void crashing_replica::restart() {
    const auto started = value_or_error([&] { return this->start(); });
    if (std::holds_alternative<error>(started)) {
        this->restart_timer.arm(std::chrono::steady_clock::now() + listen_retry_interval);
    } else {
        this->send_heartbeat();
    }
}

void crashing_replica::crash() {
    this->crash_times.push_back(std::chrono::steady_clock::now());
    this->kill();
}

void crashing_replica::kill() {
    this->crash_timer.disarm();
    this->running.reset();
    this->restart_timer.arm(std::chrono::steady_clock::now() + this->params.restart_delay);
}

void crashing_replica::send_heartbeat() {
    if (this->running) {
        this->running->send_heartbeat();
    }
    this->heartbeat_timer.arm(std::chrono::steady_clock::now() + heartbeat_interval);
}

} // namespace kingcupcart::stand_ins
