#pragma once

#include "routing/internal/target_pool.h"
#include "routing/internal/target_state.h"
#include "routing/prefix_index.h"
#include "routing/router.h"

#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

namespace kingcupcart::routing {

/// The router's tables, and the steps of a routing decision.
class router::state {
public:
    state(location local_location, router_limits limits, std::uint64_t seed);

    void update_target(const target_profile& profile);
    void remove_target(const target_id& target);
    [[nodiscard]] target_state* find(const target_id& target);
    [[nodiscard]] target_pool& pool_of(const target_state& target);
    [[nodiscard]] route_choice choose(const route_query& query, time_point now);
    [[nodiscard]] std::vector<target_id> find_only_limited(const route_query& query) const;
    [[nodiscard]] bool has_target(const route_query& query) const;
    [[nodiscard]] bool can_leave_reserve(const target_id& target, const route_query& query,
                                         time_point now) const;
    void add_waiting(target_state& target, urgency kind, time_point now, tokens prompt);
    /// Removes the attempt that was sent then, whose first output arrived at `first_output`, if it
    /// did. Returns the time for which the target was expected to read prompts until then.
    duration remove_waiting(target_state& target, time_point sent,
                            std::optional<time_point> first_output);
    /// Records a time to first output for the given kind of work; ejects the target if it is too
    /// slow, and completes a probe. `reading` is the part of that time in which the target read
    /// prompts; it says nothing of the target's speed.
    void observe_first_output(target_state& target, urgency kind, time_point sent, time_point now,
                              duration reading);
    void eject(target_state& target, time_point now);
    /// Moves the target to the list of its tier that matches its health and profile.
    void place_in_tier(target_state& target);
    [[nodiscard]] std::vector<long_work_surplus> find_long_work_surplus(const backend_name& backend,
                                                                        time_point now) const;

    location local_location;
    router_limits limits;
    int instances = 1;
    /// Null if no target is limited.
    const permits::permit_account* permits = nullptr;
    std::unordered_map<target_id, std::unique_ptr<target_state>> targets;
    std::unordered_map<backend_name, target_pool> pools;
    prefix_index prefixes;

private:
    struct candidate {
        target_state* target = nullptr;
        double score = 0;
        route_reason reason = route_reason::least_loaded;
    };
    /// State of one call of `choose`.
    struct choice_context {
        const route_query& query;
        target_pool& pool;
        /// The pool's targets of the version that the request needs.
        const target_tiers& tiers;
        time_point now;
        std::optional<prefix_index::match> cached;
        route_choice result;
        /// The best target that is out of use.
        candidate fallback;
        bool has_full_target = false;
        /// Short work considers targets outside the reserve, which are left to long work.
        bool is_beyond_reserve = false;
    };
    /// Half-open range of ranks within a tier.
    struct rank_range {
        std::size_t begin = 0;
        std::size_t end = 0;
    };

    void remove_from_tier(target_state& target);
    /// Number of a tier's targets that are reserved for short work.
    [[nodiscard]] std::size_t reserved_count(const target_pool& pool, const target_tier& tier,
                                             time_point now) const;
    /// Number of a version's targets at one distance that are reserved for short work: those among
    /// the reserved ones of all versions there, so that all instances agree on them.
    [[nodiscard]] std::size_t reserved_count(const target_pool& pool, const target_tiers& tiers,
                                             distance target_distance, time_point now) const;
    void consider_out_of_use(const target_tier& tier, choice_context& context, candidate& best);
    /// Number of long-work requests that this instance may run on the target. Bounds the long work
    /// of all instances together by the target's slots, since load reports arrive late.
    [[nodiscard]] int local_long_work_limit(const target_state& target) const;
    [[nodiscard]] candidate best_at_distance(distance target_distance, choice_context& context);
    void consider_range(distance target_distance, rank_range range, int room,
                        choice_context& context, candidate& best);
    void consider(target_state& target, int room, choice_context& context, candidate& best);
    /// Whether the target is unlimited, or a permit is held that the request may use. Otherwise
    /// notes the target in the result.
    [[nodiscard]] bool check_permit(const target_state& target, choice_context& context) const;
    /// Whether the prompts that the target has still to read leave room for the request's.
    [[nodiscard]] static bool has_prompt_room(const target_state& target,
                                              const choice_context& context);
    [[nodiscard]] double score(const target_state& target, const choice_context& context) const;
    [[nodiscard]] double slowness(const target_state& target, const choice_context& context) const;
    /// Score that the distance adds.
    [[nodiscard]] double cost_of(distance target_distance) const;
    /// Number of long-work requests that this instance may run on a target where short work runs
    /// too; used if all targets of a tier are reserved.
    [[nodiscard]] int shared_long_work_limit(const target_pool& pool) const;

    std::mt19937_64 random;
};

} // namespace kingcupcart::routing
