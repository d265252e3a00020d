#include "gateway/internal/take_ups.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::gateway {

take_ups::take_ups(parameters arguments)
    : params(std::move(arguments)), cleanup_timer([this] { this->pending_deletion.clear(); }) {}

take_ups::~take_ups() {
    for (const auto& [number, call] : this->open_calls) {
        this->params.streams->cancel(call.lookup);
    }
}

void take_ups::start(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                     duration max_wait) {
    const std::uint64_t number = ++this->last_call_number;
    exchange->on_disconnect([this, number] { this->abandon(number); });
    this->open_calls.emplace(
        number, open_call{std::move(exchange), call, this->params.time->now() + max_wait, 0});
    const std::uint64_t lookup = this->params.streams->look_up(
        call.resumes, max_wait,
        [this, number](const streams::lookup_result& result) { this->finish(number, result); });
    // The lookup may have ended already.
    const auto open = this->open_calls.find(number);
    if (open != this->open_calls.end()) {
        open->second.lookup = lookup;
    }
}

void take_ups::finish(std::uint64_t number, const streams::lookup_result& result) {
    auto ended = this->open_calls.extract(number);
    open_call& call = ended.mapped();
    call.call.max_wait = std::max(call.deadline - this->params.time->now(), duration::zero());
    call.exchange->on_disconnect(nullptr);
    this->params.on_looked_up(std::move(call.exchange), call.call, result);
    this->params.on_ended();
}

void take_ups::abandon(std::uint64_t number) {
    auto ended = this->open_calls.extract(number);
    if (ended.empty()) {
        return;
    }
    spdlog::info("take-up abandoned request={} stream={}", ended.mapped().call.request_name,
                 ended.mapped().call.resumes.value());
    this->params.streams->cancel(ended.mapped().lookup);
    this->pending_deletion.push_back(std::move(ended.mapped().exchange));
    this->cleanup_timer.arm_now();
    this->params.on_ended();
}

} // namespace kingcupcart::gateway
