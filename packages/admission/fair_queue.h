#pragma once

#include "admission/queued_request.h"

#include <cstddef>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace kingcupcart::admission {

/// A bounded queue that serves its callers in turn, and each caller's requests in their order.
class fair_queue {
public:
    explicit fair_queue(std::size_t limit) : limit(limit) {}

    /// False where the queue is full; the request is then not kept.
    [[nodiscard]] bool push(const queued_request& request);
    /// The request whose turn it is; the queue must not be empty.
    [[nodiscard]] const queued_request& front() const;
    void pop();
    /// False where the request does not wait here.
    bool remove(request_id id);
    /// Takes out what can no longer be answered in time.
    [[nodiscard]] std::vector<request_id> take_expired(time_point now);

    [[nodiscard]] std::size_t size() const { return this->count; }
    [[nodiscard]] bool empty() const { return this->count == 0; }
    void set_limit(std::size_t changed) { this->limit = changed; }

private:
    struct line {
        caller_id caller;
        std::deque<queued_request> requests;
    };

    std::size_t limit;
    std::size_t count = 0;
    /// Callers with waiting requests; the first one's turn comes next.
    std::list<line> turns;
    std::unordered_map<caller_id, std::list<line>::iterator> by_caller;
};

} // namespace kingcupcart::admission
