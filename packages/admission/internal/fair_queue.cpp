#include "admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace kingcupcart::admission {

bool fair_queue::push(const queued_request& request) {
    if (this->count >= this->limit) {
        return false;
    }
    auto known = this->by_caller.find(request.caller);
    if (known == this->by_caller.end()) {
        this->turns.push_back(line{request.caller, {}});
        known = this->by_caller.emplace(request.caller, std::prev(this->turns.end())).first;
    }
    known->second->requests.push_back(request);
    ++this->count;
    return true;
}

const queued_request& fair_queue::front() const {
    assert(!this->empty());
    return this->turns.front().requests.front();
}

void fair_queue::pop() {
    assert(!this->empty());
    line& current = this->turns.front();
    current.requests.pop_front();
    --this->count;
    if (current.requests.empty()) {
        this->by_caller.erase(current.caller);
        this->turns.pop_front();
        return;
    }
    this->turns.splice(this->turns.end(), this->turns, this->turns.begin());
}

bool fair_queue::remove(request_id id) {
    for (auto current = this->turns.begin(); current != this->turns.end(); ++current) {
        const auto removed =
            std::erase_if(current->requests, [&](const auto& waiting) { return waiting.id == id; });
        if (removed == 0) {
            continue;
        }
        this->count -= removed;
        if (current->requests.empty()) {
            this->by_caller.erase(current->caller);
            this->turns.erase(current);
        }
        return true;
    }
    return false;
}

std::vector<request_id> fair_queue::take_expired(time_point now) {
    std::vector<request_id> expired;
    for (auto current = this->turns.begin(); current != this->turns.end();) {
        std::erase_if(current->requests, [&](const auto& waiting) {
            if (waiting.deadline > now) {
                return false;
            }
            expired.push_back(waiting.id);
            return true;
        });
        if (current->requests.empty()) {
            this->by_caller.erase(current->caller);
            current = this->turns.erase(current);
        } else {
            ++current;
        }
    }
    this->count -= expired.size();
    return expired;
}

} // namespace kingcupcart::admission
