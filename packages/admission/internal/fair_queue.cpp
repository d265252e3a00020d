#include "admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace kingcupcart::admission {

namespace {

/// No account alone fills the last quarter of the queue.
constexpr std::size_t reserved_divisor = 4;

} // namespace

std::size_t fair_queue::limit_of(const account_name& account) const {
    return account.value().empty() ? this->limit : this->limit - this->limit / reserved_divisor;
}

bool fair_queue::push(const queued_request& request) {
    if (this->count >= this->limit) {
        return false;
    }
    auto known = this->by_account.find(request.account);
    if (known == this->by_account.end()) {
        this->accounts.push_back(account_queue{request.account});
        known = this->by_account.emplace(request.account, std::prev(this->accounts.end())).first;
    }
    account_queue& account = *known->second;
    if (account.count >= this->limit_of(request.account)) {
        return false;
    }
    auto entry = account.by_caller.find(request.caller);
    if (entry == account.by_caller.end()) {
        account.callers.push_back(caller_queue{request.caller, {}});
        entry = account.by_caller.emplace(request.caller, std::prev(account.callers.end())).first;
    }
    entry->second->requests.push_back(request);
    ++account.count;
    ++this->count;
    return true;
}

const queued_request& fair_queue::front() const {
    assert(!this->empty());
    return this->accounts.front().callers.front().requests.front();
}

void fair_queue::pop() {
    assert(!this->empty());
    account_queue& account = this->accounts.front();
    const auto caller = account.callers.begin();
    caller->requests.pop_front();
    --account.count;
    --this->count;
    // The next turn is another caller's, and another account's.
    account.callers.splice(account.callers.end(), account.callers, caller);
    delete_if_empty(account, caller);
    this->accounts.splice(this->accounts.end(), this->accounts, this->accounts.begin());
    this->delete_if_empty(std::prev(this->accounts.end()));
}

bool fair_queue::remove(request_id id) {
    for (auto account = this->accounts.begin(); account != this->accounts.end(); ++account) {
        for (auto caller = account->callers.begin(); caller != account->callers.end(); ++caller) {
            const auto removed = std::erase_if(
                caller->requests, [&](const auto& waiting) { return waiting.id == id; });
            if (removed == 0) {
                continue;
            }
            account->count -= removed;
            this->count -= removed;
            delete_if_empty(*account, caller);
            this->delete_if_empty(account);
            return true;
        }
    }
    return false;
}

std::vector<request_id> fair_queue::remove_expired(time_point now) {
    std::vector<request_id> expired;
    for (auto account = this->accounts.begin(); account != this->accounts.end();) {
        const std::size_t earlier = expired.size();
        for (auto caller = account->callers.begin(); caller != account->callers.end();) {
            std::erase_if(caller->requests, [&](const auto& waiting) {
                if (waiting.deadline > now) {
                    return false;
                }
                expired.push_back(waiting.id);
                return true;
            });
            caller = delete_if_empty(*account, caller);
        }
        account->count -= expired.size() - earlier;
        account = this->delete_if_empty(account);
    }
    this->count -= expired.size();
    return expired;
}

std::size_t fair_queue::places_before(const account_name& account) const {
    const auto known = this->by_account.find(account);
    const std::size_t own = known == this->by_account.end() ? 0 : known->second->count;
    std::size_t places = own;
    for (const account_queue& other : this->accounts) {
        if (other.account != account) {
            places += std::min(other.count, own + 1);
        }
    }
    return places;
}

std::list<fair_queue::caller_queue>::iterator
fair_queue::delete_if_empty(account_queue& account, std::list<caller_queue>::iterator caller) {
    if (!caller->requests.empty()) {
        return std::next(caller);
    }
    account.by_caller.erase(caller->caller);
    return account.callers.erase(caller);
}

fair_queue::account_position fair_queue::delete_if_empty(account_position account) {
    if (account->count > 0) {
        return std::next(account);
    }
    this->by_account.erase(account->account);
    return this->accounts.erase(account);
}

} // namespace kingcupcart::admission
