#include "gateway/internal/store_client.h"

#include "wire/revision.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace kingcupcart::gateway {

namespace {

/// Delay before a request that found no leader is sent again; much shorter than an election.
constexpr duration resend_interval = std::chrono::milliseconds(120);
/// A store that does not respond within this time, plus the waiting time of a read, may have
/// failed.
constexpr duration response_timeout = std::chrono::milliseconds(1200);
/// Time after which reads of results or item bodies and ends of jobs are refused; callers retry
/// these themselves.
constexpr duration call_max_wait = std::chrono::milliseconds(2500);
/// Delay after which a refused caller may retry.
constexpr duration retry_after = std::chrono::milliseconds(300);

/// Sets the call number, by which the store's response is matched to the call.
void set_number(wire::message& request, std::uint64_t number) {
    std::visit(
        [&](auto& alternative) {
            if constexpr (requires { alternative.call = number; }) {
                alternative.call = number;
            }
        },
        request);
}

} // namespace

store_client::store_client(parameters arguments)
    : params(std::move(arguments)),
      maintenance_timer([this] { this->run_maintenance(); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }),
      links(*this->params.time,
            {this->params.make_hello, [](const instance_id&) {},
             [this](const instance_id& from, const wire::message& message) {
                 this->receive(from, message);
             },
             [this](const instance_id& lost) {
                 this->revisions.erase(lost);
                 if (this->leader.lose(lost)) {
                     spdlog::warn("lost connection to the leading store store={}", lost.value());
                 }
             }}) {}

store_client::~store_client() = default;

bool store_client::has_leader() const {
    return this->leader.is_known() && this->links.is_open(this->leader.id());
}

void store_client::stores_changed(const std::vector<wire::store_address>& known_stores) {
    for (const wire::store_address& store : known_stores) {
        this->links.add(instance_id(store.address.to_string()), store.address);
    }
}

void store_client::submit(std::unique_ptr<http::exchange> exchange, batch::job job,
                          duration max_wait) {
    const job_id id = job.id;
    this->add(std::move(exchange), wire::submit_job_request{0, std::move(job)}, id, 0, max_wait);
}

void store_client::start(std::unique_ptr<http::exchange> exchange, const read_results_call& call,
                         const account_name& account) {
    this->add(std::move(exchange),
              wire::read_results_request{0, call.job, call.after, call.max_wait, account}, call.job,
              call.after, call_max_wait + call.max_wait);
}

void store_client::start(std::unique_ptr<http::exchange> exchange, const item_body_call& call,
                         const account_name& account) {
    this->add(std::move(exchange), wire::item_body_request{0, call.job, call.item, account},
              call.job, 0, call_max_wait);
}

void store_client::start(std::unique_ptr<http::exchange> exchange, const end_job_call& call,
                         const account_name& account) {
    this->add(std::move(exchange), wire::end_job_request{0, call.job, account}, call.job, 0,
              call_max_wait);
}

void store_client::add(std::unique_ptr<http::exchange> exchange, wire::message request,
                       const job_id& job, std::size_t after, duration max_wait) {
    const std::uint64_t number = ++this->last_call_number;
    set_number(request, number);
    exchange->on_disconnect([this, number] { this->remove(number); });
    const time_point now = this->params.time->now();
    open_call& call = this->open_calls[number];
    call.exchange = std::move(exchange);
    call.request = std::move(request);
    call.job = job;
    call.after = after;
    call.started_at = now;
    call.deadline = now + max_wait;
    this->send(number, call);
    this->schedule_maintenance();
}

void store_client::send(std::uint64_t number, open_call& call) {
    const time_point now = this->params.time->now();
    const auto revision = this->revisions.find(this->leader.id());
    if (!this->has_leader() || revision == this->revisions.end()) {
        call.next_send_at = now + resend_interval;
        return;
    }
    const std::optional<wire::message> reduced = wire::reduced_for(revision->second, call.request);
    if (reduced) {
        spdlog::warn("batch call sent without its account job={} store={} reason=\"the store's "
                     "build knows no accounts\"",
                     call.job.value(), this->leader.id().value());
        this->params.metrics->count("batch_calls_without_account_total");
    }
    if (!this->links.send(this->leader.id(), reduced ? *reduced : call.request)) {
        call.next_send_at = now + resend_interval;
        return;
    }
    spdlog::debug("batch call sent call={} job={} store={}", number, call.job.value(),
                  this->leader.id().value());
    call.history.sent();
    call.next_send_at = time_point::max();
    call.response_deadline = now + response_timeout;
    if (const auto* read = std::get_if<wire::read_results_request>(&call.request)) {
        call.response_deadline += read->max_wait;
    }
}

void store_client::receive(const instance_id& from, const wire::message& message) {
    if (const auto* update = std::get_if<wire::leader_update>(&message)) {
        const instance_id named_leader(update->leader.address.empty() ? ""
                                                                      : update->leader.to_string());
        const quorum::term_number term = update->term.value_or(quorum::term_number());
        switch (this->leader.update(from, named_leader, update->term)) {
        case leading_store::effect::changed:
            spdlog::info("leading store changed store={} term={} told_by={}", named_leader.value(),
                         term.value(), from.value());
            this->resend_all();
            break;
        case leading_store::effect::outdated:
            spdlog::info("outdated leading store ignored store={} term={} told_by={}",
                         named_leader.value(), term.value(), from.value());
            break;
        case leading_store::effect::none:
            break;
        }
    } else if (const auto* response = std::get_if<wire::batch_response>(&message)) {
        this->on_response(*response);
    } else if (const auto* hello = std::get_if<wire::hello>(&message)) {
        this->on(from, *hello);
    }
}

void store_client::on(const instance_id& from, const wire::hello& hello) {
    this->revisions.insert_or_assign(from, hello.revision);
    if (from != this->leader.id()) {
        return;
    }
    for (auto& [number, call] : this->open_calls) {
        if (call.next_send_at != time_point::max()) {
            call.next_send_at = this->params.time->now();
        }
    }
    this->maintenance_timer.arm_now();
}

void store_client::resend_all() {
    // The previous leader will not respond to the open calls any more.
    for (auto& [number, call] : this->open_calls) {
        call.next_send_at = this->params.time->now();
    }
    this->maintenance_timer.arm_now();
}

void store_client::on_response(const wire::batch_response& response) {
    const auto found = this->open_calls.find(response.call);
    if (found == this->open_calls.end()) {
        return;
    }
    open_call& call = found->second;
    switch (response.status) {
    case wire::batch_status::done:
        this->finish(response.call, response);
        return;
    case wire::batch_status::missing:
        this->refuse(response.call, {refusal_kind::missing, "the job or item does not exist", {}});
        return;
    case wire::batch_status::not_leader:
        call.history.declined();
        break;
    case wire::batch_status::outcome_unknown:
        break;
    }
    call.next_send_at = this->params.time->now() + resend_interval;
    this->schedule_maintenance();
}

void store_client::finish(std::uint64_t number, const wire::batch_response& response) {
    open_call& call = this->open_calls.at(number);
    const auto elapsed = this->params.time->now() - call.started_at;
    this->params.metrics->observe("batch_call_seconds", elapsed);
    if (std::holds_alternative<wire::submit_job_request>(call.request)) {
        spdlog::info("job accepted job={} took_ms={}", call.job.value(),
                     elapsed / std::chrono::milliseconds(1));
        this->params.protocol.send_accepted(*call.exchange);
    } else if (std::holds_alternative<wire::read_results_request>(call.request)) {
        this->params.protocol.send_results(*call.exchange, call.after, response);
    } else if (std::holds_alternative<wire::item_body_request>(call.request)) {
        this->params.protocol.send_item_body(*call.exchange, response);
    } else {
        spdlog::info("job ended job={}", call.job.value());
        this->params.protocol.send_job_ended(*call.exchange);
    }
    this->remove(number);
}

void store_client::refuse(std::uint64_t number, const refusal& details) {
    open_call& call = this->open_calls.at(number);
    spdlog::warn("batch call refused job={} outcome={} reason=\"{}\" age_ms={}", call.job.value(),
                 to_string(details.kind), details.reason,
                 (this->params.time->now() - call.started_at) / std::chrono::milliseconds(1));
    this->params.metrics->count("batch_calls_refused_total");
    this->params.protocol.refuse(*call.exchange, details);
    this->remove(number);
}

void store_client::remove(std::uint64_t number) {
    const auto found = this->open_calls.find(number);
    if (found == this->open_calls.end()) {
        return;
    }
    // The exchange may be in its callback for a disconnected caller.
    this->pending_deletion.push_back(std::move(found->second.exchange));
    this->open_calls.erase(found);
    this->cleanup_timer.arm_now();
    this->params.on_call_ended();
}

void store_client::run_maintenance() {
    const time_point now = this->params.time->now();
    std::vector<std::uint64_t> expired;
    for (auto& [number, call] : this->open_calls) {
        if (call.deadline <= now) {
            expired.push_back(number);
        } else if (call.next_send_at <= now ||
                   (call.next_send_at == time_point::max() && call.response_deadline <= now)) {
            this->send(number, call);
        }
    }
    for (const std::uint64_t number : expired) {
        const open_call& call = this->open_calls.at(number);
        const bool is_submission = std::holds_alternative<wire::submit_job_request>(call.request);
        if (is_submission && call.history.may_have_run()) {
            this->refuse(number, {refusal_kind::failed, "no store answered in time", {}});
        } else {
            this->refuse(number, {refusal_kind::not_run, "no store could confirm that it leads",
                                  retry_after});
        }
    }
    this->schedule_maintenance();
}

void store_client::schedule_maintenance() {
    if (!this->open_calls.empty()) {
        this->maintenance_timer.arm(this->params.time->now() + resend_interval);
    }
}

} // namespace kingcupcart::gateway
