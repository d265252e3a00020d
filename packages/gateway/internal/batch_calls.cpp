#include "gateway/internal/batch_calls.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::gateway {

namespace {

/// Pause before a call that found no leader is sent again; well under an election.
constexpr duration resend_interval = std::chrono::milliseconds(120);
/// A store that says nothing for so long, beyond the patience of a read, may be gone.
constexpr duration answer_limit = std::chrono::milliseconds(1200);
/// A read or an end gives up after this; callers ask again themselves.
constexpr duration call_patience = std::chrono::milliseconds(2500);
/// When a caller whose call was refused may come back.
constexpr duration retry_after = std::chrono::milliseconds(300);

/// Gives the call its number on the wire.
void set_number(wire::message& content, std::uint64_t number) {
    std::visit(
        [&](auto& alternative) {
            if constexpr (requires { alternative.call = number; }) {
                alternative.call = number;
            }
        },
        content);
}

} // namespace

batch_calls::batch_calls(parameters arguments)
    : params(std::move(arguments)),
      timer([this] { this->run_maintenance(); }),
      cleanup_timer([this] { this->finished.clear(); }),
      stores(*this->params.time, {this->params.greeting, [](const instance_id&) {},
                                  [this](const instance_id& from, const wire::message& said) {
                                      this->received(from, said);
                                  },
                                  [this](const instance_id& lost) {
                                      if (lost == this->leader) {
                                          spdlog::warn("leading store lost store={}", lost.value());
                                          this->leader = instance_id();
                                      }
                                  }}) {}

batch_calls::~batch_calls() = default;

bool batch_calls::has_leader() const {
    return !this->leader.value().empty() && this->stores.is_open(this->leader);
}

void batch_calls::stores_changed(const std::vector<wire::store_address>& known) {
    for (const wire::store_address& one : known) {
        this->stores.add(instance_id(one.address.to_string()), one.address);
    }
}

void batch_calls::submit(std::unique_ptr<http::exchange> exchange, batch::job job,
                         duration max_wait) {
    const job_id id = job.id;
    this->add(std::move(exchange), wire::submit_job_request{0, std::move(job)}, id, 0, max_wait);
}

void batch_calls::read_results(std::unique_ptr<http::exchange> exchange,
                               const read_results_call& wanted) {
    this->add(std::move(exchange),
              wire::read_results_request{0, wanted.job, wanted.after, wanted.max_wait}, wanted.job,
              wanted.after, call_patience + wanted.max_wait);
}

void batch_calls::read_body(std::unique_ptr<http::exchange> exchange,
                            const item_body_call& wanted) {
    this->add(std::move(exchange), wire::item_body_request{0, wanted.job, wanted.item}, wanted.job,
              0, call_patience);
}

void batch_calls::end_job(std::unique_ptr<http::exchange> exchange, const end_job_call& wanted) {
    this->add(std::move(exchange), wire::end_job_request{0, wanted.job}, wanted.job, 0,
              call_patience);
}

void batch_calls::add(std::unique_ptr<http::exchange> exchange, wire::message content,
                      const job_id& job, std::size_t after, duration max_wait) {
    const std::uint64_t number = ++this->last_call;
    set_number(content, number);
    exchange->on_left([this, number] { this->remove(number); });
    const time_point now = this->params.time->now();
    open_call& call = this->calls[number];
    call.exchange = std::move(exchange);
    call.content = std::move(content);
    call.job = job;
    call.after = after;
    call.began = now;
    call.give_up_at = now + max_wait;
    this->send(number, call);
    this->arm();
}

void batch_calls::send(std::uint64_t number, open_call& call) {
    const time_point now = this->params.time->now();
    if (!this->has_leader() || !this->stores.send(this->leader, call.content)) {
        call.send_at = now + resend_interval;
        return;
    }
    spdlog::debug("batch call sent call={} job={} store={}", number, call.job.value(),
                  this->leader.value());
    call.may_have_run = true;
    call.send_at = time_point::max();
    call.answer_due = now + answer_limit;
    if (const auto* read = std::get_if<wire::read_results_request>(&call.content)) {
        call.answer_due += read->max_wait;
    }
}

void batch_calls::received(const instance_id& from, const wire::message& said) {
    if (const auto* news = std::get_if<wire::leader_update>(&said)) {
        const instance_id named(news->leader.address.empty() ? "" : news->leader.to_string());
        // One that knows of no leader says nothing about the one that another store names.
        const bool is_news =
            named != this->leader && (!named.value().empty() || from == this->leader);
        if (is_news) {
            spdlog::info("leading store store={} told_by={}", named.value(), from.value());
            this->leader = named;
            this->send_all_again();
        }
    } else if (const auto* answer = std::get_if<wire::batch_response>(&said)) {
        this->answered(*answer);
    }
}

void batch_calls::send_all_again() {
    // Whoever had them answers no more.
    for (auto& [number, call] : this->calls) {
        call.send_at = this->params.time->now();
    }
    this->timer.arm_now();
}

void batch_calls::answered(const wire::batch_response& said) {
    const auto found = this->calls.find(said.call);
    if (found == this->calls.end()) {
        return;
    }
    open_call& call = found->second;
    const bool is_submission = std::holds_alternative<wire::submit_job_request>(call.content);
    switch (said.status) {
    case wire::batch_status::done:
        this->finish(said.call, said);
        return;
    case wire::batch_status::missing:
        this->refuse(said.call, {refusal_kind::missing, "there is no such job or item", {}});
        return;
    case wire::batch_status::unsure:
        call.may_have_run = false;
        break;
    case wire::batch_status::unknown:
        call.may_have_run = is_submission;
        break;
    }
    call.send_at = this->params.time->now() + resend_interval;
    this->arm();
}

void batch_calls::finish(std::uint64_t number, const wire::batch_response& said) {
    open_call& call = this->calls.at(number);
    const auto took = this->params.time->now() - call.began;
    this->params.metrics->observe("batch_call_seconds", took);
    if (std::holds_alternative<wire::submit_job_request>(call.content)) {
        spdlog::info("job accepted job={} took_ms={}", call.job.value(),
                     took / std::chrono::milliseconds(1));
        this->params.port.answer_accepted(*call.exchange);
    } else if (std::holds_alternative<wire::read_results_request>(call.content)) {
        this->params.port.answer_results(*call.exchange, call.after, said);
    } else if (std::holds_alternative<wire::item_body_request>(call.content)) {
        this->params.port.answer_body(*call.exchange, said);
    } else {
        spdlog::info("job ended job={}", call.job.value());
        this->params.port.answer_ended(*call.exchange);
    }
    this->remove(number);
}

void batch_calls::refuse(std::uint64_t number, const refusal& why) {
    open_call& call = this->calls.at(number);
    spdlog::warn("batch call refused job={} outcome={} reason=\"{}\" age_ms={}", call.job.value(),
                 to_string(why.kind), why.reason,
                 (this->params.time->now() - call.began) / std::chrono::milliseconds(1));
    this->params.metrics->count("batch_calls_refused_total");
    this->params.port.refuse(*call.exchange, why);
    this->remove(number);
}

void batch_calls::remove(std::uint64_t number) {
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
        return;
    }
    // The exchange may be telling that its caller has left.
    this->finished.push_back(std::move(found->second.exchange));
    this->calls.erase(found);
    this->cleanup_timer.arm_now();
    this->params.ended();
}

void batch_calls::run_maintenance() {
    const time_point now = this->params.time->now();
    std::vector<std::uint64_t> given_up;
    for (auto& [number, call] : this->calls) {
        if (call.give_up_at <= now) {
            given_up.push_back(number);
        } else if (call.send_at <= now ||
                   (call.send_at == time_point::max() && call.answer_due <= now)) {
            this->send(number, call);
        }
    }
    for (const std::uint64_t number : given_up) {
        const open_call& call = this->calls.at(number);
        const bool is_submission = std::holds_alternative<wire::submit_job_request>(call.content);
        if (is_submission && call.may_have_run) {
            this->refuse(number, {refusal_kind::failed, "no store answered in time", {}});
        } else {
            this->refuse(number, {refusal_kind::not_run, "no store could be sure", retry_after});
        }
    }
    this->arm();
}

void batch_calls::arm() {
    if (!this->calls.empty()) {
        this->timer.arm(this->params.time->now() + resend_interval);
    }
}

} // namespace kingcupcart::gateway
