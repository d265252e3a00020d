#pragma once

#include "admission/queued_request.h"

#include <cstddef>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace kingcupcart::admission {

/// Bounded queue that serves accounts round robin, the callers of one account round robin, and the
/// requests of one caller first in, first out.
///
/// Load pattern: a surge of one large account. It fills a part of the queue at most, and a small
/// account waits for one request of each other account before its own.
class fair_queue {
public:
    explicit fair_queue(std::size_t limit) : limit(limit) {}

    /// Returns false, and does not store the request, if the queue is full, or its account's part.
    [[nodiscard]] bool push(const queued_request& request);
    /// The request to serve next; the queue must not be empty.
    [[nodiscard]] const queued_request& front() const;
    void pop();
    /// Returns false if the queue does not hold the request.
    bool remove(request_id id);
    /// Removes the requests whose deadline has been reached, and returns their ids.
    [[nodiscard]] std::vector<request_id> remove_expired(time_point now);

    /// Number of waiting requests that would be served before a new request of the account.
    [[nodiscard]] std::size_t places_before(const account_name& account) const;

    [[nodiscard]] std::size_t size() const { return this->count; }
    [[nodiscard]] bool empty() const { return this->count == 0; }
    void set_limit(std::size_t new_limit) { this->limit = new_limit; }

private:
    struct caller_queue {
        caller_id caller;
        std::deque<queued_request> requests;
    };

    struct account_queue {
        account_name account;
        std::size_t count = 0;
        /// The first caller is served next.
        std::list<caller_queue> callers = {};
        std::unordered_map<caller_id, std::list<caller_queue>::iterator> by_caller = {};
    };
    using account_position = std::list<account_queue>::iterator;

    [[nodiscard]] std::size_t limit_of(const account_name& account) const;
    /// Deletes the caller's queue if it is empty, and returns the position after it.
    static std::list<caller_queue>::iterator
    delete_if_empty(account_queue& account, std::list<caller_queue>::iterator caller);
    /// The same for the account's queue.
    account_position delete_if_empty(account_position account);

    std::size_t limit;
    std::size_t count = 0;
    /// Accounts with waiting requests; the first account is served next.
    std::list<account_queue> accounts;
    std::unordered_map<account_name, account_position> by_account;
};

} // namespace kingcupcart::admission
