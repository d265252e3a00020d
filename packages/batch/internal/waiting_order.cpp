#include "batch/internal/waiting_order.h"

#include <set>
#include <utility>

namespace kingcupcart::batch {

namespace {

/// Part of the mean share that an account or trainer gets before the others are served.
constexpr double minimum_share = 0.25;

} // namespace

void waiting_order::add(scheduled_item& item, waiting_key key, const trainer_share& share) {
    key.arrival = ++this->arrivals;
    job_queue& queue = this->jobs[item.job];
    queue.items.emplace(key, &item);
    queue.share = &share;
    item.place = key;
    ++this->count;
}

void waiting_order::remove(scheduled_item& item) {
    if (!item.place) {
        return;
    }
    const auto queue = this->jobs.find(item.job);
    queue->second.items.erase(*item.place);
    if (queue->second.items.empty()) {
        this->jobs.erase(queue);
    }
    item.place.reset();
    --this->count;
}

void waiting_order::update(scheduled_item& item, waiting_key key) {
    key.arrival = item.place->arrival;
    if (key == *item.place) {
        return;
    }
    auto& queue = this->jobs.at(item.job).items;
    auto entry = queue.extract(*item.place);
    entry.key() = key;
    queue.insert(std::move(entry));
    item.place = key;
}

std::vector<scheduled_item*> waiting_order::items_of(const job_id& job) const {
    std::vector<scheduled_item*> items;
    const auto queue = this->jobs.find(job);
    if (queue != this->jobs.end()) {
        for (const auto& [key, item] : queue->second.items) {
            items.push_back(item);
        }
    }
    return items;
}

waiting_order::pass::pass(const waiting_order& order, const capacity_shares& shares)
    : shares(shares) {
    std::set<const account_share*> accounts;
    std::set<const trainer_share*> trainers;
    this->jobs.reserve(order.jobs.size());
    for (const auto& [job, queue] : order.jobs) {
        this->jobs.push_back({queue.items.begin(), queue.items.size(), queue.share});
        accounts.insert(queue.share->account);
        trainers.insert(queue.share);
    }
    this->account_count = accounts.size();
    this->trainer_count = trainers.size();
}

bool waiting_order::pass::is_below_minimum(const remainder& job) const {
    if (job.next->first.standing == item_standing::spare) {
        return false;
    }
    const auto is_below = [this](double use, std::size_t sharers) {
        return use * static_cast<double>(sharers) <
               minimum_share * static_cast<double>(this->shares.running());
    };
    return is_below(job.share->account->use(), this->account_count) ||
           is_below(static_cast<double>(job.share->running), this->trainer_count);
}

bool waiting_order::pass::is_before(const remainder& a, const remainder& b) const {
    const waiting_key& first = a.next->first;
    const waiting_key& second = b.next->first;
    if (a.share != b.share) {
        const bool is_first_below = this->is_below_minimum(a);
        if (is_first_below != this->is_below_minimum(b)) {
            return is_first_below;
        }
    }
    if (first.standing != second.standing) {
        return first.standing < second.standing;
    }
    return first < second;
}

scheduled_item* waiting_order::pass::next() {
    remainder* first = nullptr;
    for (remainder& job : this->jobs) {
        if (job.count > 0 && (first == nullptr || this->is_before(job, *first))) {
            first = &job;
        }
    }
    this->current = first;
    if (first == nullptr) {
        return nullptr;
    }
    scheduled_item* item = first->next->second;
    // Advanced before the item may be removed.
    ++first->next;
    --first->count;
    return item;
}

void waiting_order::pass::skip_job() {
    this->current->count = 0;
}

} // namespace kingcupcart::batch
