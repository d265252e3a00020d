#include "entry/internal/service_call.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupcart::entry {

namespace {

/// Largest answer that is held, in bytes.
constexpr std::size_t answer_limit = 64UL * 1024 * 1024;

} // namespace

service_call::service_call(request_id id, service_request request, call_context& context,
                           std::function<void(const requests::recorded_answer&)> ended)
    : id(id), request(std::move(request)), context(context), ended(std::move(ended)) {}

service_call::~service_call() = default;

void service_call::add_sink(std::unique_ptr<answer_sink> sink) {
    sink->on_left([this, left = sink.get()] {
        std::erase_if(this->sinks, [left](const auto& one) { return one.get() == left; });
        this->tell_left();
    });
    this->sinks.push_back(std::move(sink));
}

void service_call::tell_left() {
    if (this->sinks.empty()) {
        this->context.notify(requests::caller_disconnected{this->id});
    }
}

void service_call::start_attempt(const requests::send_attempt& sent,
                                 const membership::target_record& target) {
    const attempt_id attempt = sent.attempt;
    http::request wanted;
    wanted.method = this->request.method;
    wanted.url = "http://" + target.address.to_string() + this->request.path;
    wanted.headers = this->request.headers;
    wanted.body = this->request.body;
    wanted.repeatable = this->request.repeatable;
    auto made = std::make_unique<attempt_answer>();
    attempt_answer& kept = *made;
    this->attempts.emplace(attempt, std::move(made));
    kept.call = this->context.client.start(
        wanted, {[this, attempt] { this->context.notify(requests::attempt_handed{attempt}); },
                 [this, attempt](const http::answer_head& head) {
                     this->attempts.at(attempt)->head = head;
                 },
                 [this, attempt](std::string_view data) {
                     attempt_answer& answer = *this->attempts.at(attempt);
                     answer.body += data;
                     if (answer.body.size() > answer_limit) {
                         this->end(attempt, http::call_end::broken);
                     }
                 },
                 [this, attempt](http::call_end how, const std::string& reason) {
                     if (how != http::call_end::complete) {
                         spdlog::warn("attempt failed request={} attempt={} error=\"{}\"",
                                      this->id.value(), attempt.value(), reason);
                     }
                     this->end(attempt, how);
                 }});
}

void service_call::end(attempt_id attempt, http::call_end how) {
    if (!this->attempts.contains(attempt)) {
        return;
    }
    if (how == http::call_end::complete) {
        this->context.notify(requests::attempt_answered{attempt});
        return;
    }
    this->cancel(attempt);
    const auto failure = how == http::call_end::unreachable ? requests::attempt_failure::unreachable
                                                            : requests::attempt_failure::broken;
    this->context.notify(requests::attempt_failed{attempt, failure});
}

void service_call::adopt(attempt_id attempt) {
    this->adopted = attempt;
}

void service_call::cancel(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->call.reset();
    this->finished.push_back(std::move(found->second));
    this->attempts.erase(found);
}

void service_call::complete() {
    attempt_answer& whole = *this->attempts.at(*this->adopted);
    requests::recorded_answer answer;
    answer.outcome = requests::outcome_kind::answered;
    answer.status = whole.head.status;
    answer.headers = end_to_end(whole.head.headers);
    answer.body = std::move(whole.body);
    this->ended(answer);
    for (const auto& sink : std::exchange(this->sinks, {})) {
        sink->answer(answer);
    }
}

void service_call::abandon() {
    requests::recorded_answer answer;
    answer.outcome = requests::outcome_kind::not_run;
    this->ended(answer);
}

void service_call::refuse(const problem& refusal) {
    requests::recorded_answer answer;
    answer.outcome = refusal.outcome;
    answer.reason = refusal.reason;
    answer.status = refusal.status;
    this->ended(answer);
    for (const auto& sink : std::exchange(this->sinks, {})) {
        sink->refuse(refusal);
    }
}

} // namespace kingcupcart::entry
