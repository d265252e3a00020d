#include "permits/permit_account.h"

#include "permits/internal/seconds.h"

#include <algorithm>
#include <chrono>

namespace kingcupcart::permits {

namespace {

/// Time over which `sent_recently` counts.
constexpr duration counting_window = std::chrono::seconds(4);

std::uint32_t difference(std::uint32_t larger, std::uint32_t smaller) {
    return larger > smaller ? larger - smaller : 0;
}

} // namespace

limit_change permit_account::apply(const target_limit& stated) {
    const target_limit* previous = this->known.find(stated.target);
    const bool is_other_incarnation =
        previous != nullptr && previous->incarnation < stated.incarnation;
    const limit_change change = this->known.apply(stated);
    if (change == limit_change::ended || is_other_incarnation) {
        this->drop_permits(stated.target);
    }
    return change;
}

void permit_account::set_incarnation(const target_id& target, incarnation_id incarnation) {
    const bool was_limited = this->is_limited(target);
    this->known.set_incarnation(target, incarnation);
    if (was_limited && !this->is_limited(target)) {
        this->drop_permits(target);
    }
}

void permit_account::drop_permits(const target_id& target) {
    const auto found = this->entries.find(target);
    if (found != this->entries.end()) {
        entry kept;
        kept.waiting = found->second.waiting;
        kept.background = found->second.background;
        found->second = kept;
    }
}

void permit_account::remove(const target_id& target) {
    this->known.remove(target);
    this->entries.erase(target);
}

const permit_account::entry* permit_account::find(const target_id& target) const {
    const auto found = this->entries.find(target);
    return found == this->entries.end() ? nullptr : &found->second;
}

std::size_t permit_account::held(const target_id& target, time_point now) const {
    const entry* account = this->find(target);
    if (account == nullptr) {
        return 0;
    }
    const auto& permits = account->permits;
    return static_cast<std::size_t>(
        std::count_if(permits.begin(), permits.end(), [&](time_point at) { return at > now; }));
}

bool permit_account::has_lost_issuer(const entry& account, time_point now) const {
    return account.unanswered_since &&
           now - *account.unanswered_since >= this->limits.issuer_timeout;
}

double permit_account::own_rate(const entry& account, const target_limit& limit) const {
    const std::size_t senders =
        account.senders == 0 ? this->limits.assumed_senders : account.senders;
    return limit.rate->count() * this->limits.share_without_issuer / static_cast<double>(senders);
}

double permit_account::own_permits(const entry& account, const target_limit& limit,
                                   time_point now) const {
    const double elapsed = to_seconds(std::max(duration::zero(), now - account.own_permits_at));
    return std::min(1.0, account.own_permits + elapsed * this->own_rate(account, limit));
}

bool permit_account::may_send(const target_id& target, time_point now) const {
    const target_limit* limit = this->known.find(target);
    if (limit == nullptr) {
        return true;
    }
    const entry* account = this->find(target);
    if (account == nullptr) {
        return false;
    }
    return this->held(target, now) > 0 ||
           (this->has_lost_issuer(*account, now) && this->own_permits(*account, *limit, now) >= 1);
}

void permit_account::take(const target_id& target, time_point now) {
    const target_limit* limit = this->known.find(target);
    if (limit == nullptr) {
        return;
    }
    entry& account = this->entries[target];
    account.sends.push_back(now);
    while (now - account.sends.front() > counting_window) {
        account.sends.pop_front();
    }
    std::erase_if(account.permits, [&](time_point at) { return at <= now; });
    if (!account.permits.empty()) {
        account.permits.pop_front();
        return;
    }
    account.own_permits = this->own_permits(account, *limit, now) - 1;
    account.own_permits_at = now;
}

std::size_t permit_account::sent_recently(const target_id& target, time_point now) const {
    const entry* account = this->find(target);
    if (account == nullptr) {
        return 0;
    }
    const auto& sends = account->sends;
    return static_cast<std::size_t>(std::count_if(
        sends.begin(), sends.end(), [&](time_point at) { return now - at <= counting_window; }));
}

void permit_account::remove_waiting(const target_id& target) {
    const auto found = this->entries.find(target);
    if (found != this->entries.end() && found->second.waiting > 0) {
        --found->second.waiting;
    }
}

void permit_account::set_background(const target_id& target, std::uint32_t wanted) {
    if (wanted > 0 || this->entries.contains(target)) {
        this->entries[target].background = wanted;
    }
}

void permit_account::add_spare_demand(const target_id& target, time_point now) {
    this->entries[target].spare_until = now + this->limits.spare_demand_time;
}

duration permit_account::expected_wait(const target_id& target, time_point now) const {
    const target_limit* limit = this->known.find(target);
    const entry* account = this->find(target);
    if (limit == nullptr || account == nullptr || this->may_send(target, now)) {
        return duration::zero();
    }
    if (this->has_lost_issuer(*account, now)) {
        const double missing = 1 + account->waiting - this->own_permits(*account, *limit, now);
        return from_seconds(missing / this->own_rate(*account, *limit));
    }
    if (now - account->answered_at >= this->limits.lifetime) {
        return duration::zero();
    }
    const std::uint32_t added = difference(account->waiting, account->waiting_when_answered);
    const duration expected = account->answered_wait + from_seconds(added / limit->rate->count());
    return std::max(duration::zero(), expected - (now - account->answered_at));
}

void permit_account::handle(const permit_grant& grant, time_point now) {
    const target_limit* limit = this->known.find(grant.target);
    const auto found = this->entries.find(grant.target);
    if (limit == nullptr || limit->incarnation != grant.incarnation ||
        found == this->entries.end()) {
        return;
    }
    entry& account = found->second;
    const auto demand =
        std::find_if(account.sent_demands.begin(), account.sent_demands.end(),
                     [&](const sent_demand& sent) { return sent.number == grant.demand; });
    if (demand == account.sent_demands.end() || now - demand->sent_at >= this->limits.lifetime) {
        // The message was held up, and its permits may have been granted to others since.
        return;
    }
    account.unanswered_since.reset();
    account.answered_wait = grant.expected_wait;
    account.answered_at = now;
    account.waiting_when_answered = account.waiting;
    account.senders = grant.senders;
    account.permits.insert(account.permits.end(), grant.permits,
                           demand->sent_at + this->limits.lifetime);
    std::sort(account.permits.begin(), account.permits.end());
}

bool permit_account::is_unanswered(const target_id& target, time_point now) const {
    const entry* account = this->find(target);
    return account != nullptr && account->unanswered_since &&
           now - *account->unanswered_since >= this->limits.demand_interval;
}

permit_demand permit_account::make_demand(const target_limit& limit, const entry& account,
                                          time_point now) const {
    const auto held = static_cast<std::uint32_t>(this->held(limit.target, now));
    const std::uint32_t spare = account.spare_until > now ? 1 : 0;
    permit_demand demand;
    demand.target = limit.target;
    demand.incarnation = limit.incarnation;
    demand.waiting = difference(account.waiting, held);
    demand.background = difference(account.background + spare, difference(held, account.waiting));
    return demand;
}

bool permit_account::is_demand_due(const entry& account, const permit_demand& demand,
                                   time_point now) const {
    const std::uint32_t wanted = demand.waiting + demand.background;
    const std::uint32_t sent = account.demand.waiting + account.demand.background;
    if (demand.waiting > account.demand.waiting || (wanted == 0) != (sent == 0)) {
        return true;
    }
    return wanted > 0 && now - account.demanded_at >= this->limits.demand_interval;
}

std::vector<permit_demand> permit_account::collect_demands(time_point now) {
    std::vector<permit_demand> due;
    for (const target_limit& limit : this->known.limits()) {
        const auto found = this->entries.find(limit.target);
        if (found == this->entries.end()) {
            continue;
        }
        entry& account = found->second;
        permit_demand demand = this->make_demand(limit, account, now);
        if (!this->is_demand_due(account, demand, now)) {
            continue;
        }
        demand.number = ++this->last_demand;
        account.demand = demand;
        account.demanded_at = now;
        account.sent_demands.push_back({demand.number, now});
        while (now - account.sent_demands.front().sent_at >= this->limits.lifetime) {
            account.sent_demands.pop_front();
        }
        if (!account.unanswered_since) {
            account.unanswered_since = now;
            // Senders that lose the issuer together must not send their first request together.
            account.own_permits = std::uniform_real_distribution<double>(0, 1)(this->random);
            account.own_permits_at = now + this->limits.issuer_timeout;
        }
        due.push_back(demand);
    }
    return due;
}

std::optional<time_point> permit_account::next_wakeup() const {
    std::optional<time_point> next;
    const auto include = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    for (const auto& [target, account] : this->entries) {
        const target_limit* limit = this->known.find(target);
        if (limit == nullptr || account.demand.waiting + account.demand.background == 0) {
            continue;
        }
        include(account.demanded_at + this->limits.demand_interval);
    }
    return next;
}

std::vector<target_id> permit_account::available_targets(time_point now) const {
    std::vector<target_id> available;
    for (const auto& [target, account] : this->entries) {
        const bool is_awaited = account.waiting + account.background > 0;
        if (is_awaited && this->is_limited(target) && this->may_send(target, now)) {
            available.push_back(target);
        }
    }
    return available;
}

} // namespace kingcupcart::permits
