#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "permits/limit_table.h"
#include "permits/permit_limits.h"
#include "permits/permit_messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace kingcupcart::permits {

/// The permits of one sending instance: which targets are limited, what this instance may send to
/// them now, and what it asks the issuer for. Everything that the instance sends to targets is
/// counted here. A target without a limit needs no permits.
///
/// While the issuer is lost, the account takes a small share of each rate by itself, so that all
/// senders together stay below it.
class permit_account {
public:
    permit_account(permit_limits limits, std::uint64_t seed) : limits(limits), random(seed) {}

    limit_change apply(const target_limit& stated);
    /// Drops what is known of other incarnations of the target.
    void set_incarnation(const target_id& target, incarnation_id incarnation);
    void remove(const target_id& target);
    [[nodiscard]] const limit_table& table() const { return this->known; }
    [[nodiscard]] bool is_limited(const target_id& target) const {
        return this->known.find(target) != nullptr;
    }

    /// Whether a request may be sent to the target now.
    [[nodiscard]] bool may_send(const target_id& target, time_point now) const;
    /// Counts a request that is sent to the target, and uses up a permit if the target is limited.
    void take(const target_id& target, time_point now);

    /// A caller's request waits for a permit of the target, or no longer does.
    void add_waiting(const target_id& target) { ++this->entries[target].waiting; }
    void remove_waiting(const target_id& target);
    /// Number of permits that work in the background could use now.
    void set_background(const target_id& target, std::uint32_t wanted);
    /// A request that would have gone to the target went elsewhere for the lack of a permit.
    void add_spare_demand(const target_id& target, time_point now);
    /// Time after which one more waiting request is expected to get a permit; zero if unknown.
    [[nodiscard]] duration expected_wait(const target_id& target, time_point now) const;

    void handle(const permit_grant& grant, time_point now);
    /// The demands that the issuer has to be sent now.
    [[nodiscard]] std::vector<permit_demand> collect_demands(time_point now);
    /// When `collect_demands` has to be called again, or a target may be sent to without issuer.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// Limited targets that may be sent to, and for which requests or items wait.
    [[nodiscard]] std::vector<target_id> available_targets(time_point now) const;

    /// Whether the issuer has left a demand without an answer for longer than usual; it may not
    /// know the limit.
    [[nodiscard]] bool is_unanswered(const target_id& target, time_point now) const;

    /// Number of permits held.
    [[nodiscard]] std::size_t held(const target_id& target, time_point now) const;
    /// Requests sent to a limited target within the last 4 s.
    [[nodiscard]] std::size_t sent_recently(const target_id& target, time_point now) const;

private:
    struct sent_demand {
        std::uint64_t number = 0;
        time_point sent_at{};
    };
    struct entry {
        std::uint32_t waiting = 0;
        std::uint32_t background = 0;
        time_point spare_until{};
        /// When each permit expires, the earliest first.
        std::deque<time_point> permits;
        /// The latest demand, and when it was sent.
        permit_demand demand;
        time_point demanded_at{};
        /// Demands that may still be granted, the oldest first.
        std::deque<sent_demand> sent_demands;
        /// When the first demand was sent that is not answered yet.
        std::optional<time_point> unanswered_since;
        /// The expected wait in the issuer's latest answer, and when that arrived.
        duration answered_wait{};
        time_point answered_at{};
        std::uint32_t waiting_when_answered = 0;
        std::size_t senders = 0;
        /// Permits without issuer: their number at a time, from which they accrue.
        double own_permits = 0;
        time_point own_permits_at{};
        /// When requests were sent to the target.
        std::deque<time_point> sends;
    };

    [[nodiscard]] const entry* find(const target_id& target) const;
    /// Drops the permits and demands, but not the record of what waits.
    void drop_permits(const target_id& target);
    [[nodiscard]] bool has_lost_issuer(const entry& account, time_point now) const;
    /// Rate of the permits that this sender takes while the issuer is lost, per second.
    [[nodiscard]] double own_rate(const entry& account, const target_limit& limit) const;
    [[nodiscard]] double own_permits(const entry& account, const target_limit& limit,
                                     time_point now) const;
    [[nodiscard]] permit_demand make_demand(const target_limit& limit, const entry& account,
                                            time_point now) const;
    [[nodiscard]] bool is_demand_due(const entry& account, const permit_demand& demand,
                                     time_point now) const;

    permit_limits limits;
    limit_table known;
    std::map<target_id, entry> entries;
    std::uint64_t last_demand = 0;
    std::mt19937_64 random;
};

} // namespace kingcupcart::permits
