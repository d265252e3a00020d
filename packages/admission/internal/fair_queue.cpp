#include "admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace kingcupcart::admission {

bool fair_queue::push(const queued_request& request) {
    if (this->count >= this->limit) {
        return false;
    }
    auto entry = this->by_caller.find(request.caller);
    if (entry == this->by_caller.end()) {
        this->round_robin.push_back(caller_queue{request.caller, {}});
        entry = this->by_caller.emplace(request.caller, std::prev(this->round_robin.end())).first;
    }
    entry->second->requests.push_back(request);
    ++this->count;
    return true;
}

const queued_request& fair_queue::front() const {
    assert(!this->empty());
    return this->round_robin.front().requests.front();
}

void fair_queue::pop() {
    assert(!this->empty());
    caller_queue& current = this->round_robin.front();
    current.requests.pop_front();
    --this->count;
    if (current.requests.empty()) {
        this->by_caller.erase(current.caller);
        this->round_robin.pop_front();
        return;
    }
    this->round_robin.splice(this->round_robin.end(), this->round_robin, this->round_robin.begin());
}

bool fair_queue::remove(request_id id) {
    for (auto current = this->round_robin.begin(); current != this->round_robin.end(); ++current) {
        const auto removed =
            std::erase_if(current->requests, [&](const auto& waiting) { return waiting.id == id; });
        if (removed == 0) {
            continue;
        }
        this->count -= removed;
        if (current->requests.empty()) {
            this->by_caller.erase(current->caller);
            this->round_robin.erase(current);
        }
        return true;
    }
    return false;
}

std::vector<request_id> fair_queue::remove_expired(time_point now) {
    std::vector<request_id> expired;
    for (auto current = this->round_robin.begin(); current != this->round_robin.end();) {
        std::erase_if(current->requests, [&](const auto& waiting) {
            if (waiting.deadline > now) {
                return false;
            }
            expired.push_back(waiting.id);
            return true;
        });
        if (current->requests.empty()) {
            this->by_caller.erase(current->caller);
            current = this->round_robin.erase(current);
        } else {
            ++current;
        }
    }
    this->count -= expired.size();
    return expired;
}

} // namespace kingcupcart::admission
