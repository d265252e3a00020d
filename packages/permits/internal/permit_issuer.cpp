#include "permits/permit_issuer.h"

#include "permits/internal/seconds.h"

#include <algorithm>
#include <chrono>

namespace kingcupcart::permits {

void permit_issuer::set_authority(bool authorized) {
    if (authorized != this->is_authorized) {
        this->states.clear();
    }
    this->is_authorized = authorized;
}

void permit_issuer::remove_sender(const instance_id& sender) {
    for (auto& [target, state] : this->states) {
        state.demands.erase(sender);
    }
}

permit_issuer::target_state* permit_issuer::refresh(const target_id& target, time_point now) {
    const target_limit* limit = this->table.find(target);
    if (limit == nullptr) {
        this->states.erase(target);
        return nullptr;
    }
    const auto [position, is_new] = this->states.try_emplace(target);
    target_state& state = position->second;
    if (is_new || state.incarnation != limit->incarnation) {
        state = target_state{};
        state.incarnation = limit->incarnation;
        state.updated_at = now;
        return &state;
    }
    const double rate = limit->rate->count();
    const double most = 1 + rate * to_seconds(this->limits.saving_time);
    state.permits = std::min(most, state.permits + rate * to_seconds(now - state.updated_at));
    state.updated_at = now;
    std::erase_if(state.demands, [&](const auto& entry) {
        return now - entry.second.received_at >= this->limits.demand_timeout;
    });
    return &state;
}

std::vector<addressed_grant> permit_issuer::handle(const instance_id& sender,
                                                   const permit_demand& demand, time_point now) {
    std::vector<addressed_grant> grants;
    target_state* state = this->is_authorized ? this->refresh(demand.target, now) : nullptr;
    if (state == nullptr || state->incarnation != demand.incarnation) {
        return grants;
    }
    const auto [known, is_new] = state->demands.try_emplace(sender);
    if (is_new || demand.number > known->second.demand.number) {
        known->second = {demand, now};
    }
    this->issue(demand.target, *state, now, grants);
    const bool is_answered = std::any_of(grants.begin(), grants.end(),
                                         [&](const auto& entry) { return entry.sender == sender; });
    if (!is_answered) {
        const double rate = this->table.find(demand.target)->rate->count();
        grants.push_back({sender, this->make_grant(demand, *state, rate)});
    }
    if (demand.waiting == 0 && demand.background == 0) {
        state->demands.erase(sender);
    }
    return grants;
}

std::vector<addressed_grant> permit_issuer::issue(time_point now) {
    std::vector<addressed_grant> grants;
    if (!this->is_authorized) {
        return grants;
    }
    for (const target_limit& limit : this->table.limits()) {
        if (target_state* state = this->refresh(limit.target, now)) {
            this->issue(limit.target, *state, now, grants);
        }
    }
    return grants;
}

template <typename Member>
permit_issuer::demand_state* permit_issuer::next_in_turn(target_state& state, Member wanted) {
    const auto has_demand = [&](const auto& entry) { return entry.second.demand.*wanted > 0; };
    const auto after = state.demands.upper_bound(state.last_served);
    auto found = std::find_if(after, state.demands.end(), has_demand);
    if (found == state.demands.end()) {
        found = std::find_if(state.demands.begin(), after, has_demand);
        if (found == after) {
            return nullptr;
        }
    }
    state.last_served = found->first;
    --(found->second.demand.*wanted);
    return &found->second;
}

void permit_issuer::issue(const target_id& target, target_state& state, time_point now,
                          std::vector<addressed_grant>& grants) {
    const double rate = this->table.find(target)->rate->count();
    std::map<instance_id, std::uint32_t> granted;
    while (state.permits >= 1) {
        const demand_state* served = next_in_turn(state, &permit_demand::waiting);
        if (served == nullptr) {
            served = next_in_turn(state, &permit_demand::background);
        }
        if (served == nullptr) {
            break;
        }
        state.permits -= 1;
        ++granted[state.last_served];
    }
    for (const auto& [sender, count] : granted) {
        permit_grant grant = this->make_grant(state.demands.at(sender).demand, state, rate);
        grant.permits = count;
        grants.push_back({sender, grant});
    }
    state.updated_at = now;
}

permit_grant permit_issuer::make_grant(const permit_demand& demand, const target_state& state,
                                       double rate) const {
    double waiting = 1;
    for (const auto& [sender, known] : state.demands) {
        waiting += known.demand.waiting;
    }
    permit_grant grant;
    grant.target = demand.target;
    grant.incarnation = demand.incarnation;
    grant.demand = demand.number;
    grant.expected_wait = from_seconds(std::max(0.0, waiting - state.permits) / rate);
    grant.senders = static_cast<std::uint32_t>(this->senders);
    return grant;
}

void permit_issuer::charge(const target_id& target, time_point now) {
    if (target_state* state = this->refresh(target, now)) {
        state->permits -= 1;
    }
}

std::optional<time_point> permit_issuer::next_wakeup() const {
    std::optional<time_point> next;
    for (const auto& [target, state] : this->states) {
        const target_limit* limit = this->table.find(target);
        const bool has_demand =
            std::any_of(state.demands.begin(), state.demands.end(), [](const auto& entry) {
                return entry.second.demand.waiting + entry.second.demand.background > 0;
            });
        if (limit == nullptr || !has_demand) {
            continue;
        }
        const double missing = std::max(0.0, 1 - state.permits);
        const time_point at = state.updated_at + from_seconds(missing / limit->rate->count()) +
                              std::chrono::milliseconds(1);
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

} // namespace kingcupcart::permits
