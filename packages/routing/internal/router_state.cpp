#include "routing/internal/router_state.h"

#include "base/stable_hash.h"
#include "routing/internal/running_median.h"
#include "routing/short_reserve.h"

#include <algorithm>
#include <limits>

namespace kingcupcart::routing {

namespace {

/// A trial passes under this multiple of the pool's median.
constexpr double trial_ratio = 2.0;
constexpr int unlimited_room = std::numeric_limits<int>::max();

bool is_excluded(const route_query& query, const target_id& target) {
    return std::find(query.excluded.begin(), query.excluded.end(), target) != query.excluded.end();
}

double ratio(duration part, duration whole) {
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

router::state::state(location here, router_limits limits, std::uint64_t seed)
    : here(std::move(here)),
      limits(limits),
      prefixes(limits.prefix_entries_max, limits.prefix_age_max),
      random(seed) {}

void router::state::update_target(const target_profile& profile) {
    target_state* known = this->find(profile.id);
    if (known != nullptr && known->profile.backend == profile.backend &&
        known->profile.place == profile.place) {
        known->profile = profile;
        return;
    }
    this->remove_target(profile.id);
    auto added = std::make_unique<target_state>();
    added->profile = profile;
    added->where = distance_between(this->here, profile.place);
    added->rank = stable_hash(profile.id.value());
    auto& tier = this->pools[profile.backend].by_distance[static_cast<std::size_t>(added->where)];
    const auto place =
        std::lower_bound(tier.begin(), tier.end(), added.get(),
                         [](const auto* a, const auto* b) { return a->rank < b->rank; });
    tier.insert(place, added.get());
    this->targets.insert_or_assign(profile.id, std::move(added));
}

void router::state::remove_target(const target_id& target) {
    target_state* known = this->find(target);
    if (known == nullptr) {
        return;
    }
    target_pool& pool = this->pool_of(*known);
    pool.short_running -= known->short_running;
    pool.ejected -= known->health.is_in_use() ? 0 : 1;
    std::erase(pool.by_distance[static_cast<std::size_t>(known->where)], known);
    if (pool.size() == 0) {
        this->pools.erase(known->profile.backend);
    }
    this->prefixes.forget(target);
    this->targets.erase(target);
}

target_state* router::state::find(const target_id& target) {
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : found->second.get();
}

target_pool& router::state::pool_of(const target_state& target) {
    return this->pools[target.profile.backend];
}

route_choice router::state::choose(const route_query& query, time_point now) {
    const auto found = this->pools.find(query.backend);
    if (found == this->pools.end()) {
        return route_choice{};
    }
    choice_context context{query, found->second, now,  this->prefixes.find(query.prefix, now), {},
                           {},    false,         false};
    candidate best;
    for (const distance where :
         {distance::own_domain, distance::own_region, distance::other_region}) {
        const double cost = this->cost_of(where);
        if (best.target != nullptr && best.score <= 1 + cost) {
            break;
        }
        candidate here_best = this->best_at(where, context);
        here_best.score += cost;
        if (here_best.target != nullptr &&
            (best.target == nullptr || here_best.score < best.score)) {
            here_best.reason =
                best.target == nullptr ? here_best.reason : route_reason::spilled_over;
            best = here_best;
        }
    }
    if (best.target == nullptr && context.suspect.target != nullptr && !context.has_full_target) {
        best = context.suspect;
    }
    route_choice answer = std::move(context.answer);
    if (best.target == nullptr) {
        answer.reason = context.has_full_target ? route_reason::no_room : route_reason::no_target;
        return answer;
    }
    if (best.reason == route_reason::probation_trial) {
        best.target->health.start_trial();
    }
    answer.target = best.target->profile.id;
    answer.reason = best.reason;
    answer.where = best.target->where;
    return answer;
}

router::state::candidate router::state::best_at(distance where, choice_context& context) {
    const auto& tier = context.pool.by_distance[static_cast<std::size_t>(where)];
    candidate best;
    if (tier.empty()) {
        return best;
    }
    const double running = context.pool.short_peak.value(context.now) * this->instances;
    const auto reserve = static_cast<std::size_t>(
        short_reserve(running, static_cast<int>(tier.size()), context.pool.slowdown.slope(),
                      this->limits.slowdown_budget));
    const rank_range kept{0, reserve};
    const rank_range rest{reserve, tier.size()};
    if (context.query.kind == urgency::long_work) {
        this->consider_range(where, rest, unlimited_room, context, best);
        if (best.target == nullptr) {
            this->consider_range(where, kept, this->shared_long_room(context.pool), context, best);
        }
        return best;
    }
    this->consider_range(where, kept, unlimited_room, context, best);
    context.is_beyond_reserve = true;
    this->consider_range(where, rest, unlimited_room, context, best);
    context.is_beyond_reserve = false;
    return best;
}

void router::state::consider_range(distance where, rank_range range, int room,
                                   choice_context& context, candidate& best) {
    const auto& tier = context.pool.by_distance[static_cast<std::size_t>(where)];
    const std::size_t size = range.end - range.begin;
    if (size <= this->limits.sample_size) {
        for (std::size_t i = range.begin; i < range.end; ++i) {
            this->consider(*tier[i], room, context, best);
        }
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(range.begin, range.end - 1);
    for (std::size_t i = 0; i < this->limits.sample_size; ++i) {
        this->consider(*tier[pick(this->random)], room, context, best);
    }
    if (context.cached) {
        target_state* cached = this->find(context.cached->target);
        if (cached != nullptr && cached->where == where) {
            this->consider(*cached, room, context, best);
        }
    }
}

void router::state::consider(target_state& target, int room, choice_context& context,
                             candidate& best) {
    if (target.profile.leaving || is_excluded(context.query, target.profile.id)) {
        return;
    }
    const bool is_long = context.query.kind == urgency::long_work;
    if (!target.has_room() || (is_long && target.long_running >= room)) {
        context.has_full_target = true;
        return;
    }
    const double score = this->score(target, context);
    context.answer.considered.push_back(considered_target{target.profile.id, score});
    if (!target.health.is_in_use()) {
        const bool may_try = context.query.allows_trial && target.health.is_trial_due(context.now);
        if (may_try && best.reason != route_reason::probation_trial) {
            // A due trial beats any score, once.
            best = candidate{&target, 0, route_reason::probation_trial};
        } else if (context.suspect.target == nullptr || score < context.suspect.score) {
            context.suspect = candidate{&target, score, route_reason::only_suspects_left};
        }
        return;
    }
    if (best.target == nullptr || score < best.score) {
        const bool is_cached = context.cached && context.cached->target == target.profile.id;
        best = candidate{&target, score,
                         is_cached ? route_reason::prefix_cached : route_reason::least_loaded};
    }
}

double router::state::score(const target_state& target, const choice_context& context) const {
    double load = static_cast<double>(target.load()) / target.profile.slots;
    if (context.is_beyond_reserve && target.long_running > 0) {
        // Drafts may fill it at any moment.
        load = 1;
    }
    double score = this->slowness(target, context) * (1 + load);
    if (context.cached && context.cached->target == target.profile.id) {
        score -= this->limits.prefix_bonus * context.cached->share;
    }
    return score;
}

double router::state::slowness(const target_state& target, const choice_context& context) const {
    const duration expected = context.pool.expected_first;
    if (expected <= duration::zero()) {
        return 1;
    }
    // Only a clear difference counts: noise among equals must not draw them together.
    double slow = 1;
    if (target.health.has_average() && target.health.average() > this->limits.overdue_floor) {
        const double seen = ratio(target.health.average(), expected);
        slow = seen > trial_ratio ? seen : 1;
    }
    if (!target.waiting.empty()) {
        const duration age = context.now - target.waiting.front();
        if (age > this->limits.overdue_floor && age > expected * this->limits.ejection_ratio) {
            slow = std::max(slow, ratio(age, expected));
        }
    }
    return slow;
}

double router::state::cost_of(distance where) const {
    switch (where) {
    case distance::own_domain:
        return 0;
    case distance::own_region:
        return this->limits.other_domain_cost;
    case distance::other_region:
        return this->limits.other_region_cost;
    }
    return 0;
}

int router::state::shared_long_room(const target_pool& pool) const {
    const double slope = pool.slowdown.slope();
    if (slope <= 0) {
        return unlimited_room;
    }
    const double neighbours = this->limits.slowdown_budget / slope / this->instances;
    return static_cast<int>(std::min(neighbours, 1e6));
}

void router::state::judge(target_state& target, duration waited, time_point now) {
    target_pool& pool = this->pool_of(target);
    pool.expected_first = follow_median(pool.expected_first, waited);
    target.health.observe(waited, this->limits.observation_weight);
    if (target.health.is_on_trial()) {
        const bool passed = ratio(waited, pool.expected_first) < trial_ratio ||
                            waited <= this->limits.overdue_floor;
        if (passed) {
            target.health.pass_trial();
            --pool.ejected;
        } else {
            target.health.eject(now, this->limits);
        }
        return;
    }
    const bool is_slow =
        target.health.average() > this->limits.overdue_floor &&
        ratio(target.health.average(), pool.expected_first) > this->limits.ejection_ratio;
    const double in_use_after = static_cast<double>(pool.size()) - pool.ejected - 1;
    if (is_slow && target.health.is_in_use() &&
        in_use_after >= this->limits.ejection_floor * static_cast<double>(pool.size())) {
        this->eject(target, now);
    }
}

void router::state::eject(target_state& target, time_point now) {
    if (target.health.is_in_use()) {
        ++this->pool_of(target).ejected;
    }
    target.health.eject(now, this->limits);
}

} // namespace kingcupcart::routing
