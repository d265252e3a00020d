#include "duties/call_schedule.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcupcart::duties {

namespace {

bool is_usage(const platform_call& call) {
    return std::holds_alternative<usage_report>(call);
}

bool same_subject(const platform_call& left, const platform_call& right) {
    const auto* first = std::get_if<scale_order>(&left);
    const auto* second = std::get_if<scale_order>(&right);
    if (first == nullptr || second == nullptr) {
        return first == second;
    }
    return std::tie(first->service, first->domain, first->is_spot) ==
           std::tie(second->service, second->domain, second->is_spot);
}

} // namespace

call_schedule::added_call call_schedule::add(const platform_call& content, time_point now) {
    added_call added{++this->last_number, std::nullopt};
    time_point due = now;
    for (auto item = this->calls.begin(); item != this->calls.end() && !is_usage(content);) {
        scheduled_call& other = item->second;
        if (!same_subject(other.content, content) || other.is_replaced) {
            ++item;
            continue;
        }
        added.replaced = item->first;
        if (other.is_in_flight) {
            other.is_replaced = true;
            ++item;
        } else {
            // A platform that is busy or silent gets no more calls because of a new order.
            due = std::max(due, other.due);
            item = this->calls.erase(item);
        }
    }
    scheduled_call call;
    call.content = content;
    call.due = due;
    call.backoff = this->settings.first_retry;
    this->calls.emplace(added.number, std::move(call));
    return added;
}

bool call_schedule::is_blocked(std::uint64_t number, const scheduled_call& call) const {
    return std::any_of(this->calls.begin(), this->calls.end(), [&](const auto& item) {
        const bool is_before =
            item.second.is_in_flight || (is_usage(call.content) && item.first < number);
        return item.first != number && is_before && same_subject(item.second.content, call.content);
    });
}

std::optional<std::uint64_t> call_schedule::take_due(time_point now) {
    if (now < this->next_start) {
        return std::nullopt;
    }
    std::optional<std::uint64_t> chosen;
    for (const auto& [number, call] : this->calls) {
        if (call.is_in_flight || call.due > now || this->is_blocked(number, call)) {
            continue;
        }
        // A usage report has a time by which it is due; a scale order is late at any time.
        if (is_usage(call.content)) {
            chosen = number;
            break;
        }
        if (!chosen || call.due < this->calls.at(*chosen).due) {
            chosen = number;
        }
    }
    if (chosen) {
        this->calls.at(*chosen).is_in_flight = true;
        this->next_start = now + this->settings.interval;
    }
    return chosen;
}

bool call_schedule::end_attempt(std::uint64_t number, call_outcome outcome, time_point now) {
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
        return true;
    }
    scheduled_call& call = found->second;
    const bool is_final = outcome != call_outcome::busy && outcome != call_outcome::unknown;
    if (is_final || call.is_replaced) {
        this->calls.erase(found);
        return true;
    }
    call.is_in_flight = false;
    call.due = now + call.backoff;
    call.backoff = std::min(call.backoff * 2, this->settings.max_retry);
    return false;
}

void call_schedule::clear() {
    this->calls.clear();
}

std::optional<time_point> call_schedule::next_wakeup() const {
    std::optional<time_point> next;
    for (const auto& [number, call] : this->calls) {
        if (!call.is_in_flight && !this->is_blocked(number, call)) {
            const time_point start = std::max(call.due, this->next_start);
            next = next ? std::min(*next, start) : start;
        }
    }
    return next;
}

} // namespace kingcupcart::duties
