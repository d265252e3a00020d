#pragma once

#include "admission/queued_request.h"

#include <cstddef>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace kingcupcart::admission {

/// Bounded queue that serves callers round robin and the requests of one caller first in, first
/// out.
class fair_queue {
public:
    explicit fair_queue(std::size_t limit) : limit(limit) {}

    /// Returns false, and does not store the request, if the queue is full.
    [[nodiscard]] bool push(const queued_request& request);
    /// The request to serve next; the queue must not be empty.
    [[nodiscard]] const queued_request& front() const;
    void pop();
    /// Returns false if the queue does not hold the request.
    bool remove(request_id id);
    /// Removes the requests whose deadline has been reached, and returns their ids.
    [[nodiscard]] std::vector<request_id> remove_expired(time_point now);

    [[nodiscard]] std::size_t size() const { return this->count; }
    [[nodiscard]] bool empty() const { return this->count == 0; }
    void set_limit(std::size_t new_limit) { this->limit = new_limit; }

private:
    struct caller_queue {
        caller_id caller;
        std::deque<queued_request> requests;
    };

    std::size_t limit;
    std::size_t count = 0;
    /// Callers with waiting requests; the first caller is served next.
    std::list<caller_queue> round_robin;
    std::unordered_map<caller_id, std::list<caller_queue>::iterator> by_caller;
};

} // namespace kingcupcart::admission
