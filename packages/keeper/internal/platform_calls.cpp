#include "keeper/internal/platform_calls.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace kingcupcart::keeper {

namespace {

/// Largest response of the platform's API, in bytes.
constexpr std::size_t max_response_bytes = 64UL * 1024;
/// A call without a response within this time is repeated. Shorter than the lease, so that it has
/// ended before a later holder sends.
constexpr duration call_timeout = std::chrono::milliseconds(1500);
/// Time after which a connection that has not opened counts as failed.
constexpr duration open_timeout = std::chrono::milliseconds(500);
/// Part of the platform's rate that is used, since its measure of a second differs from ours.
constexpr double rate_share = 0.8;
/// Time until the next look at whether this keeper may send, while calls wait for that.
constexpr duration authority_interval = std::chrono::milliseconds(50);

duties::call_schedule::limits make_limits(double calls_per_second) {
    duties::call_schedule::limits limits;
    limits.interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / (calls_per_second * rate_share)));
    return limits;
}

std::string describe(const duties::platform_call& call) {
    if (const auto* usage = std::get_if<duties::usage_report>(&call)) {
        return "usage window=" + std::to_string(usage->window);
    }
    const auto& order = std::get<duties::scale_order>(call);
    return "scale service=" + order.service.value() + " failure_domain=" + order.domain.value() +
           " spot=" + (order.is_spot ? "true" : "false") +
           " desired=" + std::to_string(order.desired);
}

const char* kind_of(const duties::platform_call& call) {
    return std::holds_alternative<duties::usage_report>(call) ? "usage" : "scale";
}

} // namespace

platform_calls::platform_calls(parameters arguments)
    : params(std::move(arguments)),
      client(*this->params.time, {this->params.limits, {}, nullptr, open_timeout}),
      schedule(make_limits(this->params.calls_per_second)),
      timer([this] { this->run(); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {}

platform_calls::~platform_calls() = default;

void platform_calls::send(const duties::scale_order& order, completion on_complete) {
    this->add(order, std::move(on_complete));
}

void platform_calls::send(const duties::usage_report& report, completion on_complete) {
    this->add(report, std::move(on_complete));
}

void platform_calls::add(duties::platform_call content, completion on_complete) {
    const auto added = this->schedule.add(content, this->params.time->now());
    this->pending.emplace(added.number, pending_call{std::move(content), std::move(on_complete)});
    if (added.replaced && !this->open.contains(*added.replaced)) {
        this->finish(*added.replaced, duties::call_outcome::unknown);
    }
    // Sends in a later iteration of the event loop, since the caller may be in a callback.
    this->timer.arm_now();
}

void platform_calls::leadership_changed(bool is_leader) {
    if (is_leader) {
        return;
    }
    this->schedule.clear();
    for (auto& [number, call] : std::exchange(this->open, {})) {
        call.call.reset();
    }
    for (auto& [number, call] : std::exchange(this->pending, {})) {
        spdlog::warn("platform call dropped call=\"{}\" reason=leadership-lost",
                     describe(call.content));
        call.on_complete(duties::call_outcome::unknown);
    }
}

void platform_calls::run() {
    const time_point now = this->params.time->now();
    std::vector<std::uint64_t> overdue;
    for (const auto& [number, call] : this->open) {
        if (call.deadline <= now) {
            overdue.push_back(number);
        }
    }
    for (const std::uint64_t number : overdue) {
        this->end_attempt(number, duties::call_outcome::unknown, "timeout");
    }
    if (this->may_send()) {
        if (const auto number = this->schedule.take_due(this->params.time->now())) {
            this->start(*number);
        }
    }
    this->arm();
}

void platform_calls::start(std::uint64_t number) {
    const auto found = this->pending.find(number);
    const auto fence = this->params.authority();
    if (found == this->pending.end() || !fence) {
        this->end_attempt(number, duties::call_outcome::unknown, "leadership-not-sure");
        return;
    }
    const duties::platform_call& content = found->second.content;
    const call_holder holder{this->params.holder, *fence};
    const auto* usage = std::get_if<duties::usage_report>(&content);
    http::request request =
        usage != nullptr
            ? this->params.protocol.report_usage(*usage, holder)
            : this->params.protocol.order_scale(std::get<duties::scale_order>(content), holder);
    request.url = "http://" + this->params.platform.to_string() + request.url;
    request.max_response_bytes = max_response_bytes;
    open_call& call = this->open[number];
    call.deadline = this->params.time->now() + call_timeout;
    call.fence = *fence;
    spdlog::info("platform call sent call=\"{}\" fence={}", describe(content), fence->value());
    this->params.metrics->count(std::string("platform_calls_total{kind=\"") + kind_of(content) +
                                "\"}");
    auto started = this->client.start(
        request, {[this, number] { this->check_authority(number); },
                  [this, number](const http::response_head& head) {
                      const auto open = this->open.find(number);
                      if (open != this->open.end()) {
                          open->second.head = head;
                      }
                  },
                  [](std::string_view) {},
                  [this, number](http::call_result result, const std::string& reason) {
                      const auto open = this->open.find(number);
                      if (open == this->open.end()) {
                          return;
                      }
                      const bool is_complete = result == http::call_result::complete;
                      this->end_attempt(number,
                                        is_complete
                                            ? this->params.protocol.parse_outcome(open->second.head)
                                            : duties::call_outcome::unknown,
                                        is_complete ? "" : reason.c_str());
                  }});
    // The call may have ended within `start`.
    const auto opened = this->open.find(number);
    if (opened != this->open.end()) {
        opened->second.call = std::move(started);
    }
}

// The connection may have taken long to open, and this process may have been frozen meanwhile.
void platform_calls::check_authority(std::uint64_t number) {
    const auto found = this->open.find(number);
    if (found == this->open.end() || this->params.authority() == found->second.fence) {
        return;
    }
    // Destroyed here, so that nothing is written.
    found->second.call.reset();
    this->end_attempt(number, duties::call_outcome::unknown, "leadership-not-sure");
}

void platform_calls::end_attempt(std::uint64_t number, duties::call_outcome outcome,
                                 const char* reason) {
    const auto call = this->open.find(number);
    const int status = call == this->open.end() ? 0 : call->second.head.status;
    const auto found = this->pending.find(number);
    if (found != this->pending.end()) {
        const bool is_accepted = outcome == duties::call_outcome::accepted;
        spdlog::log(is_accepted ? spdlog::level::info : spdlog::level::warn,
                    "platform call ended call=\"{}\" outcome={} status={} reason=\"{}\"",
                    describe(found->second.content), duties::to_string(outcome), status, reason);
        this->params.metrics->count(std::string("platform_call_outcomes_total{kind=\"") +
                                    kind_of(found->second.content) + "\",outcome=\"" +
                                    duties::to_string(outcome) + "\"}");
    }
    if (call != this->open.end()) {
        this->pending_deletion.push_back(std::move(call->second));
        this->open.erase(call);
        this->cleanup_timer.arm_now();
    }
    if (this->schedule.end_attempt(number, outcome, this->params.time->now())) {
        this->finish(number, outcome);
    }
    this->timer.arm_now();
}

void platform_calls::finish(std::uint64_t number, duties::call_outcome outcome) {
    const auto found = this->pending.find(number);
    if (found == this->pending.end()) {
        return;
    }
    // Removed before the completion runs, since that may send the next call.
    const completion on_complete = std::move(found->second.on_complete);
    this->pending.erase(found);
    on_complete(outcome);
}

void platform_calls::arm() {
    const time_point now = this->params.time->now();
    std::optional<time_point> next = this->schedule.next_wakeup();
    if (next && *next <= now && !this->may_send()) {
        next = now + authority_interval;
    }
    for (const auto& [number, call] : this->open) {
        next = next ? std::min(*next, call.deadline) : call.deadline;
    }
    if (next) {
        this->timer.arm(*next);
    } else {
        this->timer.disarm();
    }
}

} // namespace kingcupcart::keeper
