#include "batch/score_scheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcupcart::batch {

namespace {

/// Number of responses over which the moving average of the latency extends.
constexpr int latency_averaging_responses = 16;
/// Number of responses before the mean latency is compared: enough for all distances to be among
/// them.
constexpr int latency_warm_up_responses = 24;
/// Number of responses over which the lowest mean latency follows a higher one, so that it adapts
/// to a service that became slower for good.
constexpr int latency_adaptation_responses = 2048;

} // namespace

score_scheduler::score_scheduler(score_limits limits)
    : limits(limits), limit(limits.initial_concurrency) {}

score_actions score_scheduler::handle(const score_message& incoming, time_point now) {
    this->now = now;
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
    this->start_requests();
    return std::exchange(this->output, {});
}

std::optional<time_point> score_scheduler::next_wakeup() const {
    return this->delayed.empty() ? std::nullopt : std::optional(this->delayed.begin()->first);
}

std::size_t score_scheduler::concurrency() const {
    return static_cast<std::size_t>(this->limit);
}

void score_scheduler::on(const text_completed& completed) {
    auto [entry, is_new] = this->texts.try_emplace(completed.item);
    pending_text& text = entry->second;
    text.spec = completed;
    text.is_job_closed = false;
    if (!is_new) {
        return;
    }
    text.position = {completed.rank, ++this->last_number};
    text.next_delay = this->limits.retry_delay;
    this->waiting.emplace(text.position, completed.item);
}

void score_scheduler::on(const job_closed& closed) {
    std::vector<item_id> unrequested;
    for (auto& [item, text] : this->texts) {
        if (text.spec.job != closed.job) {
            continue;
        }
        text.is_job_closed = true;
        if (!text.is_requested) {
            unrequested.push_back(item);
        }
    }
    for (const item_id& item : unrequested) {
        this->remove(item);
    }
}

void score_scheduler::on(const score_received& received) {
    const pending_text* text = this->end_request(received.item);
    if (text == nullptr) {
        return;
    }
    this->record_latency(this->now - text->requested_at);
    this->remove(received.item);
}

void score_scheduler::on(const score_failed& failed) {
    pending_text* text = this->end_request(failed.item);
    if (text == nullptr) {
        return;
    }
    if (failed.failure == score_failure::unanswered) {
        this->decrease_concurrency(this->limits.min_concurrency);
    } else if (++text->failures >= text->spec.max_failures) {
        this->output.push_back(score_given_up{text->spec.job, failed.item});
        this->remove(failed.item);
        return;
    }
    if (text->is_job_closed) {
        this->remove(failed.item);
        return;
    }
    this->delayed.emplace(this->now + text->next_delay, failed.item);
    text->next_delay = std::min(2 * text->next_delay, this->limits.max_retry_delay);
}

void score_scheduler::on(const timer_expired& /*expired*/) {
    while (!this->delayed.empty() && this->delayed.begin()->first <= this->now) {
        const item_id item = this->delayed.begin()->second;
        this->delayed.erase(this->delayed.begin());
        this->waiting.emplace(this->texts.at(item).position, item);
    }
}

void score_scheduler::start_requests() {
    while (!this->waiting.empty() && this->in_progress < this->concurrency()) {
        const item_id item = this->waiting.begin()->second;
        this->waiting.erase(this->waiting.begin());
        pending_text& text = this->texts.at(item);
        text.is_requested = true;
        text.requested_at = this->now;
        this->output.push_back(
            request_score{text.spec.job, item, text.requests, this->in_progress});
        ++text.requests;
        ++this->in_progress;
    }
}

score_scheduler::pending_text* score_scheduler::end_request(const item_id& item) {
    const auto found = this->texts.find(item);
    if (found == this->texts.end() || !found->second.is_requested) {
        return nullptr;
    }
    found->second.is_requested = false;
    --this->in_progress;
    return &found->second;
}

void score_scheduler::remove(const item_id& item) {
    const auto found = this->texts.find(item);
    this->waiting.erase(found->second.position);
    std::erase_if(this->delayed, [&](const auto& entry) { return entry.second == item; });
    this->texts.erase(found);
}

void score_scheduler::record_latency(duration latency) {
    ++this->latencies_recorded;
    this->mean_latency += (latency - this->mean_latency) /
                          std::min(this->latencies_recorded, latency_averaging_responses);
    if (this->latencies_recorded <= latency_warm_up_responses) {
        this->lowest_mean_latency = this->mean_latency;
    }
    this->lowest_mean_latency +=
        (this->mean_latency - this->lowest_mean_latency) / latency_adaptation_responses;
    this->lowest_mean_latency = std::min(this->lowest_mean_latency, this->mean_latency);
    const auto lowest = static_cast<double>(this->lowest_mean_latency.count());
    if (static_cast<double>(this->mean_latency.count()) > lowest * this->limits.queueing_ratio) {
        this->decrease_concurrency(std::min(this->limit, this->limits.uncritical_concurrency));
        return;
    }
    const double increase = this->limit < this->limits.uncritical_concurrency ? 1 : 1 / this->limit;
    this->limit = std::min(this->limit + increase, this->limits.max_concurrency);
}

void score_scheduler::decrease_concurrency(double lower_bound) {
    if (this->now - this->last_decrease < this->limits.decrease_interval) {
        return;
    }
    this->last_decrease = this->now;
    this->limit = std::max(this->limit * this->limits.decrease_factor, lower_bound);
}

} // namespace kingcupcart::batch
