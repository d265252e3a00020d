#include "routing/internal/router_state.h"

#include "base/stable_hash.h"
#include "routing/internal/running_median.h"
#include "routing/short_reserve.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace kingcupcart::routing {

namespace {

/// A probe passes if its time to first output is below this multiple of the pool's median.
constexpr double probe_pass_ratio = 2.0;
/// The reserve is sized for the mean load plus this many standard deviations.
constexpr double reserve_deviations = 1;
/// Upper bound of one observation, as a multiple of the ejection ratio.
constexpr double outlier_ratio = 2;
constexpr int unlimited_room = std::numeric_limits<int>::max();

bool is_of_version(const route_query& query, const target_state& target) {
    return !query.software || target.profile.software == *query.software;
}

double ratio(duration part, duration whole) {
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

router::state::state(location local_location, router_limits limits, std::uint64_t seed)
    : local_location(std::move(local_location)),
      limits(limits),
      prefixes(limits.max_prefix_entries, limits.max_prefix_age),
      random(seed) {}

void router::state::update_target(const target_profile& profile) {
    target_state* entry = this->find(profile.id);
    if (entry != nullptr && entry->profile.backend == profile.backend &&
        entry->profile.place == profile.place) {
        this->remove_from_tier(*entry);
        entry->profile = profile;
        this->place_in_tier(*entry);
        return;
    }
    this->remove_target(profile.id);
    auto added = std::make_unique<target_state>();
    added->profile = profile;
    added->target_distance = distance_between(this->local_location, profile.place);
    added->rank = stable_hash(profile.id.value());
    ++this->pool_of(*added).targets;
    this->place_in_tier(*added);
    this->targets.insert_or_assign(profile.id, std::move(added));
}

void router::state::remove_target(const target_id& target) {
    target_state* entry = this->find(target);
    if (entry == nullptr) {
        return;
    }
    target_pool& pool = this->pool_of(*entry);
    pool.short_running -= entry->short_running;
    pool.long_running -= entry->long_running;
    pool.long_readers -= entry->long_prompts > 0 ? 1 : 0;
    --pool.targets;
    this->remove_from_tier(*entry);
    if (pool.targets == 0) {
        this->pools.erase(entry->profile.backend);
    }
    this->prefixes.remove(target);
    this->targets.erase(target);
}

target_state* router::state::find(const target_id& target) {
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : found->second.get();
}

target_pool& router::state::pool_of(const target_state& target) {
    return this->pools[target.profile.backend];
}

void router::state::remove_from_tier(target_state& target) {
    const auto index = static_cast<std::size_t>(target.target_distance);
    target_pool& pool = this->pool_of(target);
    pool.by_distance[index].remove(target);
    const auto found = pool.by_software.find(target.profile.software);
    if (found == pool.by_software.end()) {
        return;
    }
    found->second[index].remove(target);
    const auto is_empty = [](const target_tier& tier) { return tier.empty(); };
    if (std::all_of(found->second.begin(), found->second.end(), is_empty)) {
        pool.by_software.erase(found);
    }
}

void router::state::place_in_tier(target_state& target) {
    this->remove_from_tier(target);
    if (target.profile.leaving) {
        return;
    }
    const auto index = static_cast<std::size_t>(target.target_distance);
    target_pool& pool = this->pool_of(target);
    pool.by_distance[index].add(target);
    pool.by_software[target.profile.software][index].add(target);
}

route_choice router::state::choose(const route_query& query, time_point now) {
    const auto found = this->pools.find(query.backend);
    if (found == this->pools.end()) {
        return route_choice{};
    }
    const target_tiers* tiers = found->second.tiers_of(query.software);
    if (tiers == nullptr) {
        return route_choice{};
    }
    choice_context context{
        query, found->second, *tiers, now, this->prefixes.find(query.prefix, now), {},
        {},    false,         false};
    candidate best;
    for (const distance target_distance :
         {distance::own_domain, distance::own_region, distance::other_region}) {
        const double cost = this->cost_of(target_distance);
        if (best.target != nullptr && best.score <= 1 + cost) {
            break;
        }
        if (query.kind == urgency::long_work && context.has_full_target) {
            // Long work queues for a nearby target rather than go to a more distant one.
            break;
        }
        candidate tier_best = this->best_at_distance(target_distance, context);
        tier_best.score += cost;
        if (tier_best.target != nullptr &&
            (best.target == nullptr || tier_best.score < best.score)) {
            tier_best.reason =
                best.target == nullptr ? tier_best.reason : route_reason::spilled_over;
            best = tier_best;
        }
    }
    if (best.target == nullptr && context.fallback.target != nullptr && !context.has_full_target) {
        best = context.fallback;
    }
    route_choice result = std::move(context.result);
    if (best.target == nullptr) {
        if (context.has_full_target) {
            result.reason = route_reason::no_room;
        } else {
            result.reason =
                result.without_permit.empty() ? route_reason::no_target : route_reason::no_permit;
        }
        return result;
    }
    if (best.reason == route_reason::probation_trial) {
        best.target->health.start_probe();
        this->place_in_tier(*best.target);
    }
    result.target = best.target->profile.id;
    result.reason = best.reason;
    result.target_distance = best.target->target_distance;
    return result;
}

std::size_t router::state::reserved_count(const target_pool& pool, const target_tier& tier,
                                          time_point now) const {
    // Arrivals are assumed to be Poisson, so the standard deviation is the square root of the mean.
    const double mean = pool.short_load.mean(now) * this->instances;
    const double running = mean + reserve_deviations * std::sqrt(mean);
    const int reserved = short_reserve(running, static_cast<int>(tier.in_use.size()),
                                       pool.slowdown.slope(), this->limits.slowdown_budget);
    return static_cast<std::size_t>(reserved);
}

router::state::candidate router::state::best_at_distance(distance target_distance,
                                                         choice_context& context) {
    const auto& tier = context.tiers[static_cast<std::size_t>(target_distance)];
    candidate best;
    this->consider_out_of_use(tier, context, best);
    if (best.target != nullptr) {
        return best;
    }
    const std::size_t reserve =
        this->reserved_count(context.pool, context.tiers, target_distance, context.now);
    const rank_range reserved{0, reserve};
    const rank_range unreserved{reserve, tier.in_use.size()};
    if (context.query.kind == urgency::long_work) {
        this->consider_range(target_distance, unreserved, unlimited_room, context, best);
        const bool is_all_reserved = unreserved.begin == unreserved.end;
        if (is_all_reserved) {
            this->consider_range(target_distance, reserved,
                                 this->shared_long_work_limit(context.pool), context, best);
        }
        return best;
    }
    this->consider_range(target_distance, reserved, unlimited_room, context, best);
    context.is_beyond_reserve = true;
    this->consider_range(target_distance, unreserved, unlimited_room, context, best);
    context.is_beyond_reserve = false;
    return best;
}

void router::state::consider_out_of_use(const target_tier& tier, choice_context& context,
                                        candidate& best) {
    for (target_state* target : tier.out_of_use) {
        if (context.query.excludes(target->profile.id) || !target->has_room() ||
            !this->check_permit(*target, context)) {
            continue;
        }
        const double score = this->score(*target, context);
        // Long work tolerates a slow probe better than short work does.
        const bool can_probe =
            context.query.allows_probe &&
            (context.query.kind == urgency::long_work || context.pool.long_running == 0);
        if (can_probe && target->health.is_probe_due(context.now) && best.target == nullptr) {
            // A due probe takes precedence over any score, for one request.
            best = candidate{target, 0, route_reason::probation_trial};
        } else if (context.fallback.target == nullptr || score < context.fallback.score) {
            context.fallback = candidate{target, score, route_reason::only_suspects_left};
        }
    }
}

void router::state::consider_range(distance target_distance, rank_range range, int room,
                                   choice_context& context, candidate& best) {
    const auto& tier = context.tiers[static_cast<std::size_t>(target_distance)].in_use;
    const std::size_t size = range.end - range.begin;
    if (size <= this->limits.sample_size || !context.query.only.empty()) {
        for (std::size_t i = range.begin; i < range.end; ++i) {
            this->consider(*tier[i], room, context, best);
        }
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(range.begin, range.end - 1);
    for (std::size_t i = 0; i < this->limits.sample_size; ++i) {
        this->consider(*tier[pick(this->random)], room, context, best);
    }
    if (best.target == nullptr && !context.result.without_permit.empty()) {
        // The sample may have missed the few targets that need no permit.
        for (std::size_t i = range.begin; i < range.end; ++i) {
            this->consider(*tier[i], room, context, best);
        }
    }
    if (context.cached) {
        target_state* cached = this->find(context.cached->target);
        if (cached != nullptr && cached->target_distance == target_distance &&
            cached->health.is_in_use()) {
            this->consider(*cached, room, context, best);
        }
    }
}

void router::state::consider(target_state& target, int room, choice_context& context,
                             candidate& best) {
    if (target.profile.leaving || context.query.excludes(target.profile.id) ||
        !is_of_version(context.query, target)) {
        return;
    }
    const bool is_long = context.query.kind == urgency::long_work;
    const int long_room = std::min(room, this->local_long_work_limit(target));
    if (!target.has_room() || (is_long && target.long_running >= long_room) ||
        !has_prompt_room(target, context)) {
        context.has_full_target = true;
        return;
    }
    if (!this->check_permit(target, context)) {
        return;
    }
    const double score = this->score(target, context);
    context.result.considered.push_back(considered_target{target.profile.id, score});
    if (best.target == nullptr || score < best.score) {
        const bool is_cached = context.cached && context.cached->target == target.profile.id;
        best = candidate{&target, score,
                         is_cached ? route_reason::prefix_cached : route_reason::least_loaded};
    }
}

bool router::state::has_prompt_room(const target_state& target, const choice_context& context) {
    const target_pool& pool = context.pool;
    if (!pool.prompts.may_send_behind(target.unread)) {
        return false;
    }
    return target.long_prompts > 0 || !pool.prompts.is_long(context.query.prompt) ||
           pool.long_readers < prompt_reading::max_long_readers(pool.in_use_count());
}

bool router::state::check_permit(const target_state& target, choice_context& context) const {
    const target_id& id = target.profile.id;
    if (this->permits == nullptr || !this->permits->is_limited(id)) {
        return true;
    }
    if (context.query.allows_limited && this->permits->may_send(id, context.now)) {
        return true;
    }
    auto& noted = context.result.without_permit;
    if (std::find(noted.begin(), noted.end(), id) == noted.end()) {
        noted.push_back(id);
    }
    return false;
}

std::vector<target_id> router::state::find_only_limited(const route_query& query) const {
    std::vector<target_id> limited;
    if (this->permits == nullptr || this->permits->table().empty()) {
        return limited;
    }
    for (const auto& [id, target] : this->targets) {
        if (target->profile.backend != query.backend || target->profile.leaving ||
            query.excludes(id) || !is_of_version(query, *target)) {
            continue;
        }
        if (!this->permits->is_limited(id)) {
            return {};
        }
        limited.push_back(id);
    }
    return limited;
}

int router::state::local_long_work_limit(const target_state& target) const {
    const double slots = target.profile.slots * this->limits.long_work_share;
    // Instances of the target's own domain take precedence, and this instance does not know their
    // load.
    const double share =
        target.target_distance == distance::own_domain ? 1 : this->limits.remote_long_work_share;
    return std::max(1, static_cast<int>(slots * share) / this->instances);
}

double router::state::score(const target_state& target, const choice_context& context) const {
    double load = static_cast<double>(target.load()) / target.profile.slots;
    if (context.is_beyond_reserve && target.long_running > 0) {
        // Long work may fill the target at any time, so it counts as full.
        load = 1;
    }
    double score =
        this->slowness(target, context) * (1 + load) + context.pool.prompts.penalty(target.unread);
    if (context.cached && context.cached->target == target.profile.id) {
        score -= this->limits.prefix_bonus * context.cached->share;
    }
    return score;
}

double router::state::slowness(const target_state& target, const choice_context& context) const {
    // Only a clear difference counts: noise must not concentrate work on some of several equal
    // targets.
    const double observed = target.health.average();
    double slow = observed > probe_pass_ratio ? observed : 1;
    if (!target.waiting.empty()) {
        const waiting_attempt& oldest = target.waiting.front();
        const duration expected = context.pool.expected_first_output_of(oldest.kind) +
                                  context.pool.prompts.time_to_read(oldest.unread_when_sent);
        const duration age = context.now - oldest.sent;
        if (expected > duration::zero() && age > this->limits.overdue_floor &&
            ratio(age, expected) > this->limits.ejection_ratio) {
            slow = std::max(slow, ratio(age, expected));
        }
    }
    return slow;
}

double router::state::cost_of(distance target_distance) const {
    switch (target_distance) {
    case distance::own_domain:
        return 0;
    case distance::own_region:
        return this->limits.other_domain_cost;
    case distance::other_region:
        return this->limits.other_region_cost;
    }
    return 0;
}

int router::state::shared_long_work_limit(const target_pool& pool) const {
    const double max_concurrent_requests = this->limits.slowdown_budget / pool.slowdown.slope();
    // At least one, so that long work makes progress where every target is reserved.
    return std::max(1, static_cast<int>(max_concurrent_requests / this->instances));
}

void router::state::add_waiting(target_state& target, urgency kind, time_point now, tokens prompt) {
    target_pool& pool = this->pool_of(target);
    const bool is_long = pool.prompts.is_long(prompt);
    target.unread += prompt;
    target.waiting.push_back({now, kind, prompt, target.unread, is_long});
    if (is_long && target.long_prompts++ == 0) {
        ++pool.long_readers;
    }
}

duration router::state::remove_waiting(target_state& target, time_point sent,
                                       std::optional<time_point> first_output) {
    const bool had_long_prompts = target.long_prompts > 0;
    const auto removed = target.remove_waiting(sent);
    if (!removed) {
        return duration::zero();
    }
    target_pool& pool = this->pool_of(target);
    if (had_long_prompts && target.long_prompts == 0) {
        --pool.long_readers;
    }
    const duration reading = pool.prompts.time_to_read(removed->unread_when_sent);
    if (first_output) {
        pool.prompts.observe(removed->unread_when_sent, *first_output - sent);
    }
    return reading;
}

void router::state::observe_first_output(target_state& target, urgency kind, time_point sent,
                                         time_point now, duration reading) {
    if (reading > prompt_reading::max_wait && !target.health.is_probing()) {
        return;
    }
    const duration waited = reading > duration::zero()
                                ? std::max(this->limits.overdue_floor, now - sent - reading)
                                : now - sent;
    target_pool& pool = this->pool_of(target);
    duration& expected = pool.expected_first_output_of(kind);
    expected = update_median(expected, waited);
    const bool is_short_wait = waited <= this->limits.overdue_floor;
    const double observed =
        is_short_wait ? std::min(1.0, ratio(waited, expected)) : ratio(waited, expected);
    // Overlapping waits count once: a burst of prompts must not look like a slow target.
    const bool is_independent = sent >= target.last_observed;
    if (is_independent || target.health.is_probing()) {
        target.last_observed = now;
        target.health.observe(std::min(observed, this->limits.ejection_ratio * outlier_ratio),
                              this->limits.observation_weight);
    }
    if (target.health.is_probing()) {
        if (observed < probe_pass_ratio) {
            target.health.pass_probe();
            this->place_in_tier(target);
        } else {
            this->eject(target, now);
        }
        return;
    }
    const double in_use_after = static_cast<double>(pool.in_use_count()) - 1;
    const bool can_eject = in_use_after >= this->limits.ejection_floor * pool.targets;
    if (target.health.is_in_use() && can_eject &&
        target.health.average() > this->limits.ejection_ratio) {
        this->eject(target, now);
    }
}

void router::state::eject(target_state& target, time_point now) {
    target.health.eject(now, this->limits);
    this->place_in_tier(target);
}

std::vector<long_work_surplus> router::state::find_long_work_surplus(const backend_name& backend,
                                                                     time_point now) const {
    std::vector<long_work_surplus> surpluses;
    const auto found = this->pools.find(backend);
    if (found == this->pools.end()) {
        return surpluses;
    }
    const target_pool& pool = found->second;
    const int shared_limit = this->shared_long_work_limit(pool);
    for (const target_tier& tier : pool.by_distance) {
        const std::size_t reserve = this->reserved_count(pool, tier, now);
        const int limit = reserve == tier.in_use.size() ? shared_limit : 0;
        for (std::size_t i = 0; i < reserve; ++i) {
            const target_state& target = *tier.in_use[i];
            if (target.long_running > limit) {
                surpluses.push_back({target.profile.id, target.long_running - limit});
            }
        }
    }
    return surpluses;
}

} // namespace kingcupcart::routing
