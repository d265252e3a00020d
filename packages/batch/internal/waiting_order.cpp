#include "batch/internal/waiting_order.h"

#include <utility>

namespace kingcupcart::batch {

void waiting_order::add(scheduled_item& item, waiting_key key) {
    key.arrival = ++this->arrivals;
    this->jobs[item.job].emplace(key, &item);
    item.place = key;
    ++this->count;
}

void waiting_order::remove(scheduled_item& item) {
    if (!item.place) {
        return;
    }
    const auto queue = this->jobs.find(item.job);
    queue->second.erase(*item.place);
    if (queue->second.empty()) {
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
    job_queue& queue = this->jobs.at(item.job);
    auto entry = queue.extract(*item.place);
    entry.key() = key;
    queue.insert(std::move(entry));
    item.place = key;
}

std::vector<scheduled_item*> waiting_order::items_of(const job_id& job) const {
    std::vector<scheduled_item*> items;
    const auto queue = this->jobs.find(job);
    if (queue != this->jobs.end()) {
        for (const auto& [key, item] : queue->second) {
            items.push_back(item);
        }
    }
    return items;
}

waiting_order::pass::pass(const waiting_order& order) {
    this->jobs.reserve(order.jobs.size());
    for (const auto& [job, queue] : order.jobs) {
        this->jobs.push_back({queue.begin(), queue.size()});
    }
}

scheduled_item* waiting_order::pass::next() {
    remainder* first = nullptr;
    for (remainder& job : this->jobs) {
        if (job.count > 0 && (first == nullptr || job.next->first < first->next->first)) {
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
