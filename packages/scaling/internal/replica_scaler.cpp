#include "scaling/replica_scaler.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace kingcupcart::scaling {

namespace {

std::int64_t divide_up(std::int64_t dividend, std::int64_t divisor) {
    return (dividend + divisor - 1) / divisor;
}

void keep_earliest(std::optional<time_point>& earliest, time_point candidate, time_point now) {
    if (candidate > now && (!earliest || candidate < *earliest)) {
        earliest = candidate;
    }
}

} // namespace

scaler_actions replica_scaler::handle(const scaler_message& incoming, time_point current_time) {
    this->now = current_time;
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
    if (this->may_order) {
        for (auto& [name, plan] : this->services) {
            this->decide(plan);
        }
    }
    return std::exchange(this->output, {});
}

std::optional<time_point> replica_scaler::next_wakeup() const {
    std::optional<time_point> next;
    if (!this->may_order) {
        return next;
    }
    for (const auto& [name, plan] : this->services) {
        if (!plan.is_initialized) {
            keep_earliest(next, this->settled_at, this->now);
        }
        for (const auto& [id, domain] : plan.domains) {
            if (domain.order && !domain.order->is_in_flight) {
                keep_earliest(next, domain.order->retry_at, this->now);
            }
            for (const pool_plan* pool : {&domain.normal, &domain.spot}) {
                keep_earliest(next, pool->unavailable_until, this->now);
                if (pool->expected_until) {
                    keep_earliest(next, *pool->expected_until, this->now);
                }
            }
        }
    }
    return next;
}

std::vector<pool_numbers> replica_scaler::numbers() const {
    std::vector<pool_numbers> numbers;
    for (const auto& [name, plan] : this->services) {
        for (const auto& [id, domain] : plan.domains) {
            for (const replica_kind kind : {replica_kind::normal, replica_kind::spot}) {
                const replica_pool pool{name, id, kind};
                const pool_plan& known = kind == replica_kind::spot ? domain.spot : domain.normal;
                numbers.push_back({pool, this->replicas.present(pool), known.ordered});
            }
        }
    }
    return numbers;
}

void replica_scaler::on(const services_changed& changed) {
    std::map<backend_name, service_plan> previous = std::exchange(this->services, {});
    for (const scaled_service& service : changed.services) {
        service_plan& plan = this->services[service.service];
        const auto known = previous.find(service.service);
        if (known != previous.end()) {
            plan = std::move(known->second);
            // Failure domains may have been added; numbers are counted again.
            plan.is_initialized = false;
        }
        plan.service = service;
    }
}

void replica_scaler::on(const replica_updated& updated) {
    this->replicas.update(updated);
}

void replica_scaler::on(const replica_removed& removed) {
    this->replicas.remove(removed.replica, this->now);
}

void replica_scaler::on(const load_report& report) {
    const auto found = this->services.find(report.service);
    if (found != this->services.end()) {
        found->second.demand.record(report.models, this->limits, this->now);
    }
}

void replica_scaler::on(const order_response& response) {
    const auto plan = this->services.find(response.service);
    if (plan == this->services.end()) {
        return;
    }
    const auto found = plan->second.domains.find(response.domain);
    if (found == plan->second.domains.end() || !found->second.order ||
        !found->second.order->is_in_flight ||
        found->second.order->content.number != response.number) {
        return;
    }
    open_order& order = *found->second.order;
    const order_replicas& content = order.content;
    pool_plan& pool = pool_of(found->second, content.kind);
    switch (response.result) {
    case order_result::accepted: {
        const replica_count present =
            this->replicas.present({content.service, content.domain, content.kind});
        if (content.desired < pool.ordered) {
            pool.lowered_at = this->now;
        }
        pool.ordered = content.desired;
        pool.accepted_at = this->now;
        pool.expected_until.reset();
        if (present < pool.ordered) {
            pool.expected_until = this->now + this->limits.missing_after_boot_times *
                                                  plan->second.service.rules.boot_time;
        }
        // A replica that was lost after the order was sent may not be part of it.
        pool.needs_replacement = present < pool.ordered && present < content.basis.present;
        break;
    }
    case order_result::none_available:
        pool.unavailable_until = this->now + this->limits.unavailable_time;
        pool.needs_replacement = false;
        break;
    case order_result::refused:
        pool.unavailable_until = this->now + this->limits.rejected_time;
        pool.needs_replacement = false;
        break;
    case order_result::busy:
    case order_result::unknown:
        order.is_in_flight = false;
        order.retry_delay = order.retry_delay == duration::zero()
                                ? this->limits.first_retry
                                : std::min(2 * order.retry_delay, this->limits.max_retry);
        order.retry_at = this->now + order.retry_delay;
        return;
    }
    found->second.order.reset();
}

void replica_scaler::on(const authority_changed& changed) {
    this->may_order = changed.may_order;
    this->settled_at = this->now + this->limits.settle_time;
    for (auto& [name, plan] : this->services) {
        // The orders of another leader are unknown to this instance.
        plan.domains.clear();
        plan.is_initialized = false;
    }
}

void replica_scaler::on(const timer_expired& /*expired*/) {}

void replica_scaler::decide(service_plan& plan) {
    if (!plan.is_initialized) {
        const bool is_needed = plan.demand.is_known() || !is_engine(plan);
        if (this->now < this->settled_at || !is_needed) {
            return;
        }
        this->initialize(plan);
    }
    for (auto& [id, domain] : plan.domains) {
        this->follow(plan, id, replica_kind::normal, domain.normal);
        this->follow(plan, id, replica_kind::spot, domain.spot);
    }
    decision_basis basis;
    const service_goal goal = this->choose(plan, basis);
    this->send_orders(plan, goal, basis);
}

void replica_scaler::initialize(service_plan& plan) {
    plan.is_initialized = true;
    plan.lowered_at = this->now;
    const backend_name& service = plan.service.service;
    std::set<failure_domain_id> domains;
    for (const auto& [id, price] : plan.service.rules.prices) {
        domains.insert(id);
    }
    if (domains.empty()) {
        domains = this->replicas.domains(service);
    }
    std::erase_if(plan.domains, [&](const auto& entry) { return !domains.contains(entry.first); });
    for (const failure_domain_id& id : domains) {
        const auto [position, is_new] = plan.domains.try_emplace(id);
        if (!is_new) {
            continue;
        }
        for (const replica_kind kind : {replica_kind::normal, replica_kind::spot}) {
            const replica_pool key{service, id, kind};
            pool_plan& pool = pool_of(position->second, kind);
            const replica_count lost = this->replicas.lost(key, this->now);
            pool.latest_present = this->replicas.present(key);
            pool.ordered = pool.latest_present + lost;
            pool.is_emptied = pool.latest_present == replica_count() && lost > replica_count(1);
        }
    }
}

void replica_scaler::follow(const service_plan& plan, const failure_domain_id& domain,
                            replica_kind kind, pool_plan& pool) {
    const replica_pool key{plan.service.service, domain, kind};
    const replica_count present = this->replicas.present(key);
    const replica_count before = std::exchange(pool.latest_present, present);
    const bool is_leaving_expected =
        pool.lowered_at && this->now < *pool.lowered_at + this->limits.leave_time;
    if (present > pool.ordered && !is_leaving_expected) {
        // An order of one more than were ordered would end those that exist beyond them.
        pool.ordered = present;
    }
    if (present > replica_count()) {
        pool.is_emptied = false;
    } else if (before > replica_count() && pool.ordered > replica_count(1)) {
        pool.is_emptied = true;
    }
    if (present >= pool.ordered) {
        pool.expected_until.reset();
        pool.needs_replacement = false;
        return;
    }
    if (kind == replica_kind::spot && this->replicas.is_leaving(key)) {
        pool.unavailable_until = this->now + this->limits.reclaimed_time;
        pool.ordered = present;
        pool.expected_until.reset();
        pool.needs_replacement = false;
        return;
    }
    if (present < before) {
        pool.needs_replacement = true;
    } else if (!pool.expected_until) {
        pool.needs_replacement = this->is_available(pool);
    } else if (*pool.expected_until <= this->now) {
        this->output.push_back(replicas_missing{key.service, domain, kind, pool.ordered, present,
                                                this->now - pool.accepted_at});
        pool.expected_until.reset();
        pool.needs_replacement = false;
        pool.unavailable_until = this->now + this->limits.unavailable_time;
    }
}

replica_scaler::service_goal replica_scaler::choose(service_plan& plan, decision_basis& basis) {
    service_goal goal;
    std::int64_t ordered = 0;
    for (const auto& [id, domain] : plan.domains) {
        domain_goal& numbers = goal[id];
        numbers.normal = domain.normal.ordered.count();
        numbers.normal_reason = order_reason::surplus;
        numbers.spot = domain.spot.ordered.count();
        ordered += domain.normal.ordered.count();
    }
    this->add_minimum(plan, goal);
    std::int64_t expected = this->expected_replicas(plan) - ordered;
    for (const auto& [id, numbers] : goal) {
        expected += numbers.normal;
    }
    const std::int64_t needed = this->needed_replicas(plan);
    basis.needed_slots = plan.demand.needed_slots();
    basis.needed = replica_count(needed);
    basis.expected = replica_count(expected);
    basis.waiting = plan.demand.waiting();
    basis.lateness = plan.demand.lateness();
    basis.load_age = plan.demand.is_known() ? this->now - plan.demand.reported_at() : duration();
    std::int64_t unplaced = 0;
    if (needed > expected) {
        order_reason reason = order_reason::demand;
        if (ordered >= needed) {
            reason = order_reason::replacement;
        } else if (basis.lateness > duration::zero()) {
            reason = order_reason::late_step;
        }
        unplaced = this->add_normal(plan, goal, needed - expected, reason);
    } else if (this->may_lower(plan)) {
        this->remove_surplus(plan, goal);
    }
    this->add_spot(plan, goal, unplaced);
    return goal;
}

void replica_scaler::add_minimum(const service_plan& plan, service_goal& goal) const {
    const std::int64_t min = plan.service.rules.min.count();
    for (auto& [id, numbers] : goal) {
        if (numbers.normal < min && this->is_available(plan.domains.at(id).normal)) {
            numbers.normal = min;
            numbers.normal_reason = order_reason::minimum;
        }
    }
}

std::int64_t replica_scaler::add_normal(const service_plan& plan, service_goal& goal,
                                        std::int64_t missing, order_reason reason) const {
    const std::int64_t max = plan.service.rules.max.count();
    // The cheapest failure domains up to the share that may be lost with one; then all.
    for (const std::int64_t limit : {std::min(max, this->domain_share(plan)), max}) {
        while (missing > 0) {
            std::pair<const failure_domain_id, domain_goal>* best = nullptr;
            for (auto& candidate : goal) {
                const pool_plan& pool = plan.domains.at(candidate.first).normal;
                const auto rank = [&](const auto& entry) {
                    return std::make_tuple(price_of(plan, entry.first), entry.second.normal);
                };
                if (candidate.second.normal < limit && this->is_available(pool) &&
                    !pool.is_emptied && (best == nullptr || rank(candidate) < rank(*best))) {
                    best = &candidate;
                }
            }
            if (best == nullptr) {
                break;
            }
            ++best->second.normal;
            best->second.normal_reason = reason;
            --missing;
        }
    }
    return missing;
}

void replica_scaler::add_spot(const service_plan& plan, service_goal& goal,
                              std::int64_t unplaced) const {
    const std::int64_t max = plan.service.rules.max.count();
    std::vector<failure_domain_id> by_price;
    for (const auto& [id, numbers] : goal) {
        by_price.push_back(id);
    }
    std::stable_sort(by_price.begin(), by_price.end(), [&](const auto& a, const auto& b) {
        return price_of(plan, a) < price_of(plan, b);
    });
    for (const failure_domain_id& id : by_price) {
        domain_goal& numbers = goal.at(id);
        if (numbers.normal > max) {
            continue;
        }
        const std::int64_t room = max - numbers.normal;
        if (this->is_available(plan.domains.at(id).spot)) {
            const std::int64_t added =
                std::min(unplaced, std::max<std::int64_t>(0, room - numbers.spot));
            numbers.spot_reason = added > 0 ? order_reason::demand : order_reason::reserve;
            const std::int64_t reserve = uses_spot_reserve(plan) ? reserve_per_domain(plan) : 0;
            numbers.spot = std::max(numbers.spot + added, reserve);
            unplaced -= added;
        }
        if (numbers.spot > room) {
            numbers.spot = room;
            numbers.spot_reason = order_reason::surplus;
        }
    }
}

bool replica_scaler::may_lower(const service_plan& plan) const {
    const bool is_load_known =
        is_engine(plan) && this->now <= plan.demand.reported_at() + this->limits.max_load_age;
    return is_load_known && plan.lowered_at + this->limits.hold_time <= this->now &&
           std::all_of(plan.domains.begin(), plan.domains.end(), [](const auto& entry) {
               const domain_plan& domain = entry.second;
               return !domain.order && domain.normal.latest_present >= domain.normal.ordered;
           });
}

void replica_scaler::remove_surplus(service_plan& plan, service_goal& goal) {
    std::int64_t total = 0;
    for (const auto& [id, numbers] : goal) {
        total += numbers.normal;
    }
    std::int64_t surplus = total - this->needed_replicas(plan);
    const double least = static_cast<double>(total) * this->limits.min_surplus_share;
    if (surplus <= 0 || static_cast<double>(surplus) < least) {
        return;
    }
    plan.lowered_at = this->now;
    const std::int64_t share = this->domain_share(plan);
    // A failure domain that is cut off still has a replica.
    const std::int64_t least_in_domain = std::max<std::int64_t>(1, plan.service.rules.min.count());
    for (; surplus > 0; --surplus) {
        std::pair<const failure_domain_id, domain_goal>* best = nullptr;
        for (auto& candidate : goal) {
            const auto rank = [&](const auto& entry) {
                return std::make_tuple(std::max<std::int64_t>(0, entry.second.normal - share),
                                       price_of(plan, entry.first), entry.second.normal);
            };
            if (candidate.second.normal > least_in_domain &&
                (best == nullptr || rank(candidate) > rank(*best))) {
                best = &candidate;
            }
        }
        if (best == nullptr) {
            break;
        }
        --best->second.normal;
        best->second.normal_reason = order_reason::surplus;
    }
    for (auto& [id, numbers] : goal) {
        numbers.spot = std::min(numbers.spot, reserve_per_domain(plan));
    }
}

void replica_scaler::send_orders(service_plan& plan, const service_goal& goal,
                                 const decision_basis& basis) {
    for (auto& [id, domain] : plan.domains) {
        if (domain.order) {
            if (!domain.order->is_in_flight && domain.order->retry_at <= this->now) {
                domain.order->content.is_repeated = true;
                this->send(*domain.order);
            }
            continue;
        }
        const domain_goal& wanted = goal.at(id);
        if (wanted.normal > plan.service.rules.max.count()) {
            // More replicas run than may be ordered. They stay until the load needs no more than
            // the maximum, since an order now would take away replicas that serve.
            continue;
        }
        order_replicas normal;
        normal.service = plan.service.service;
        normal.domain = id;
        normal.desired = replica_count(wanted.normal);
        normal.reason = wanted.normal_reason;
        normal.basis = basis;
        order_replicas spot = normal;
        spot.kind = replica_kind::spot;
        spot.desired = replica_count(wanted.spot);
        spot.reason = wanted.spot_reason;
        // Spot replicas that give way to normal ones go first, so that `max` is not exceeded.
        const bool gives_way = spot.desired < domain.spot.ordered;
        this->order(domain, gives_way ? spot : normal);
        this->order(domain, gives_way ? normal : spot);
    }
}

void replica_scaler::order(domain_plan& domain, order_replicas content) {
    const pool_plan& pool = pool_of(domain, content.kind);
    const bool replaces = content.desired == pool.ordered && pool.needs_replacement;
    const bool adds = content.desired > pool.ordered || replaces;
    const bool may_send = content.desired < pool.ordered || (adds && this->is_available(pool));
    if (domain.order || !may_send) {
        return;
    }
    if (replaces) {
        content.reason = order_reason::replacement;
    }
    content.basis.present = pool.latest_present;
    domain.order = open_order{content};
    this->send(*domain.order);
}

void replica_scaler::send(open_order& order) {
    order.is_in_flight = true;
    order.content.number = order_number(++this->last_order);
    this->output.push_back(order.content);
}

std::int64_t replica_scaler::needed_replicas(const service_plan& plan) const {
    if (!is_engine(plan)) {
        // Without knowledge of the demand, the number that exists is kept.
        std::int64_t ordered = 0;
        for (const auto& [id, domain] : plan.domains) {
            ordered += domain.normal.ordered.count();
        }
        return ordered;
    }
    std::int64_t needed =
        divide_up(plan.demand.needed_slots().count(), plan.service.slots_per_replica.count());
    if (reserve_per_domain(plan) > 0) {
        // Where no spot replica can be had, the reserve is a normal one.
        needed += std::count_if(plan.domains.begin(), plan.domains.end(), [&](const auto& entry) {
            return !uses_spot_reserve(plan) || !this->is_available(entry.second.spot);
        });
    }
    return needed;
}

std::int64_t replica_scaler::expected_replicas(const service_plan& plan) const {
    std::int64_t expected = 0;
    for (const auto& [id, domain] : plan.domains) {
        expected += this->expected_replicas(plan, id, domain.normal);
    }
    for (const failure_domain_id& id : this->replicas.domains(plan.service.service)) {
        if (!plan.domains.contains(id)) {
            expected +=
                this->replicas.present({plan.service.service, id, replica_kind::normal}).count();
        }
    }
    return expected;
}

std::int64_t replica_scaler::expected_replicas(const service_plan& plan,
                                               const failure_domain_id& domain,
                                               const pool_plan& pool) const {
    if (pool.is_emptied) {
        return 0;
    }
    if (this->is_available(pool) || pool.expected_until) {
        return pool.ordered.count();
    }
    const replica_pool key{plan.service.service, domain, replica_kind::normal};
    return std::min(pool.ordered, this->replicas.present(key)).count();
}

std::int64_t replica_scaler::domain_share(const service_plan& plan) const {
    const std::int64_t needed = this->needed_replicas(plan);
    const auto domains = static_cast<std::int64_t>(std::max<std::size_t>(1, plan.domains.size()));
    const double share = static_cast<double>(needed) * this->limits.max_domain_share;
    return std::max(divide_up(needed, domains), static_cast<std::int64_t>(std::ceil(share)));
}

relative_price replica_scaler::price_of(const service_plan& plan, const failure_domain_id& domain) {
    const auto found = plan.service.rules.prices.find(domain);
    return found == plan.service.rules.prices.end() ? relative_price(1) : found->second;
}

} // namespace kingcupcart::scaling
