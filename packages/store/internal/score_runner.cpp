#include "store/internal/score_runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace kingcupcart::store {

namespace {

/// Retention of the texts of ended jobs: the time in which the next job of a trainer follows.
constexpr duration closed_text_retention = std::chrono::seconds(20);
/// Largest response to a score request, in bytes; only its head is used.
constexpr std::size_t max_response_bytes = 1024UL * 1024;
constexpr int status_ok = 200;
constexpr int status_multiple_choices = 300;
constexpr int status_server_error = 500;

bool is_usable(const batch::item_result& text, const batch::job& job) {
    const bool is_new_enough =
        std::all_of(text.versions.begin(), text.versions.end(),
                    [&](const weight_version& version) { return version >= job.oldest_version; });
    return is_new_enough && (!job.needs_single_version || text.versions.size() == 1);
}

} // namespace

score_runner::score_runner(parameters arguments)
    : params(std::move(arguments)),
      forwarder({this->params.place, this->params.time, this->params.seed, this->params.protocol,
                 this->params.fleet, this->params.metrics, this->params.limits, max_response_bytes,
                 [] {}, this->params.budget}),
      scheduler_timer([this] { this->dispatch(batch::timer_expired{}); }) {}

score_runner::~score_runner() = default;

void score_runner::add(const job_id& job, batch::item_result text, batch::item_rank rank) {
    const batch::job_record* record = this->params.state_machine->find(job);
    const batch::job_item* item = this->find_item(job, text.item);
    if (item == nullptr) {
        return;
    }
    const item_id id = text.item;
    const std::size_t failures = this->max_failures(record->content, *item->scorer);
    this->texts.insert_or_assign(id, unscored_text{job, std::move(text)});
    if (record->is_ended) {
        this->texts.at(id).closed_at = this->params.time->now();
        return;
    }
    this->dispatch(batch::text_completed{job, id, rank, failures});
}

std::size_t score_runner::max_failures(const batch::job& job,
                                       const batch::score_request& scorer) const {
    const auto& table = this->params.fleet->routes();
    std::size_t attempts = 1;
    for (const routes::route* route :
         {table->find(job.host, job.path), table->find(scorer.host, scorer.path)}) {
        attempts = route == nullptr ? attempts : std::max(attempts, route->max_attempts);
    }
    return attempts;
}

void score_runner::close(const job_id& job) {
    for (auto& [item, text] : this->texts) {
        if (text.job == job) {
            text.closed_at = this->params.time->now();
        }
    }
    this->dispatch(batch::job_closed{job});
}

std::vector<item_id> score_runner::resume(const batch::job_record& record) {
    this->erase_expired_texts();
    std::vector<item_id> resumed;
    for (const batch::job_item& item : record.content.items) {
        const auto found = this->texts.find(item.id);
        if (!item.scorer || found == this->texts.end() || record.has_result(item.id) ||
            !is_usable(found->second.result, record.content)) {
            continue;
        }
        resumed.push_back(item.id);
        this->add(record.content.id, found->second.result, batch::item_rank::carried);
    }
    return resumed;
}

void score_runner::erase_expired_texts() {
    const time_point now = this->params.time->now();
    std::erase_if(this->texts, [&](const auto& entry) {
        const time_point closed_at = entry.second.closed_at;
        return closed_at != time_point::max() && closed_at + closed_text_retention < now;
    });
}

void score_runner::routes_changed() {
    this->forwarder.routes_changed();
}

void score_runner::target_changed(const membership::directory_change& change) {
    this->forwarder.target_changed(change);
}

void score_runner::dispatch(const batch::score_message& message) {
    this->inbox.push_back(message);
    if (!this->is_processing) {
        this->process_inbox();
    }
}

void score_runner::process_inbox() {
    this->is_processing = true;
    while (!this->inbox.empty()) {
        const batch::score_message message = std::move(this->inbox.front());
        this->inbox.pop_front();
        for (const batch::score_action& action :
             this->scheduler.handle(message, this->params.time->now())) {
            std::visit([this](const auto& alternative) { this->on(alternative); }, action);
        }
    }
    this->is_processing = false;
    if (const auto next = this->scheduler.next_wakeup()) {
        this->scheduler_timer.arm(*next);
    }
}

const batch::job_item* score_runner::find_item(const job_id& job, const item_id& item) const {
    const batch::job_record* record = this->params.state_machine->find(job);
    return record == nullptr ? nullptr : record->find_item(item);
}

void score_runner::on(const batch::request_score& action) {
    const batch::job_item* item = this->find_item(action.job, action.item);
    const batch::score_request* scorer =
        item == nullptr || !item->scorer ? nullptr : &*item->scorer;
    const routes::route* route =
        scorer == nullptr ? nullptr
                          : this->params.fleet->routes()->find(scorer->host, scorer->path);
    if (route == nullptr) {
        this->fail(action.item, batch::score_failure::unanswered,
                   "no route for the item's score request");
        return;
    }
    spdlog::info("requesting score item={} job={} request={} earlier={} in_progress={}",
                 action.item.value(), action.job.value(), scorer->name, action.earlier_requests,
                 action.in_progress);
    this->params.metrics->count("score_requests_total");
    forwarding::call_parameters call;
    call.name = scorer->name;
    call.request = this->params.protocol.make_score_call(*scorer);
    // Without a fingerprint: an item needs its score, so its requests are never quarantined.
    call.max_wait = route->timeout;
    call.notify.on_response = [this, item_id = action.item](const http::response_head& head,
                                                            std::string_view /*body*/) {
        this->handle_response(item_id, head);
    };
    call.notify.on_stream_started = [this, item_id = action.item](const http::response_head& head) {
        this->handle_response(item_id, head);
    };
    call.notify.on_stream_data = [](std::string_view) {};
    call.notify.on_stream_ended = [] {};
    call.notify.on_failure = [this,
                              item_id = action.item](const forwarding::call_failure& failure) {
        this->fail(item_id, batch::score_failure::unanswered, requests::to_string(failure.reason));
    };
    this->forwarder.start(*route, std::move(call));
}

void score_runner::handle_response(const item_id& item, const http::response_head& head) {
    const bool is_success = head.status >= status_ok && head.status < status_multiple_choices;
    const auto signature = this->params.protocol.signature_of(head);
    const auto text = this->texts.find(item);
    if (!is_success || !signature || text == this->texts.end()) {
        this->fail(item,
                   head.status == status_server_error ? batch::score_failure::failed
                                                      : batch::score_failure::unanswered,
                   "status " + std::to_string(head.status));
        return;
    }
    const job_id job = text->second.job;
    batch::item_result result = std::move(text->second.result);
    this->texts.erase(text);
    result.score = *signature;
    spdlog::info("item scored item={} job={}", item.value(), job.value());
    this->params.metrics->count("items_completed_total");
    this->dispatch(batch::score_received{item});
    this->params.on_result(job, std::move(result));
}

void score_runner::fail(const item_id& item, batch::score_failure failure,
                        const std::string& reason) {
    spdlog::warn("score request ended item={} outcome={} reason=\"{}\" pending={}", item.value(),
                 batch::to_string(failure), reason, this->scheduler.pending_count());
    this->params.metrics->count("score_requests_failed_total");
    this->dispatch(batch::score_failed{item, failure});
}

void score_runner::on(const batch::score_given_up& action) {
    spdlog::warn("item given up item={} job={} reason=score-failures", action.item.value(),
                 action.job.value());
    this->params.metrics->count("items_given_up_total");
    this->texts.erase(action.item);
    batch::item_result result;
    result.item = action.item;
    this->params.on_result(action.job, std::move(result));
}

} // namespace kingcupcart::store
