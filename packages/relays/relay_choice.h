#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/location.h"
#include "relays/relay.h"
#include "relays/relay_limits.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace kingcupcart::relays {

/// Decides which relay gets a call, and which links to relays are opened and closed. A state
/// machine without I/O.
///
/// Relays of the own failure domain go first, then those of the region, then others. Of two at the
/// same distance, chosen at random, the one with fewer calls of this instance gets the call.
class relay_choice {
public:
    relay_choice(location place, relay_limits limits, std::uint64_t seed);

    /// Replaces the relays that keepers have named for the backend. Others that have a link are
    /// used for it, too, until they refuse its calls.
    void set_candidates(const backend_name& backend, const std::vector<relay>& candidates);

    void link_dialled(const instance_id& relay);
    void link_opened(const instance_id& relay, time_point now);
    /// The link was lost, or could not be opened.
    void link_lost(const instance_id& relay, time_point now);
    /// The link was closed by this instance.
    void link_closed(const instance_id& relay);
    /// The relay takes no further calls over its link.
    void link_stopping(const instance_id& relay, time_point now);
    void call_sent(const instance_id& relay);
    void call_ended(const instance_id& relay, time_point now);
    void call_refused(const instance_id& relay, const backend_name& backend, time_point now);
    /// The relay has begun to respond.
    void call_accepted(const instance_id& relay, const backend_name& backend);

    /// The relay with an open link that gets the next call; empty if there is none.
    [[nodiscard]] std::optional<instance_id>
    choose(const backend_name& backend, const std::set<instance_id>& passed_over, time_point now);
    /// Whether only few relays can be used for the backend.
    [[nodiscard]] bool is_scarce(const backend_name& backend, time_point now) const;
    /// Whether a relay other than those is known for the backend, usable at present or not.
    [[nodiscard]] bool has_candidates(const backend_name& backend,
                                      const std::set<instance_id>& passed_over) const;
    /// Relays to dial for calls of the backend.
    [[nodiscard]] std::vector<instance_id> choose_dials(const backend_name& backend,
                                                        const std::set<instance_id>& passed_over,
                                                        time_point now);
    /// Whether a link that is being opened may serve calls of the backend.
    [[nodiscard]] bool is_dialling(const backend_name& backend,
                                   const std::set<instance_id>& passed_over, time_point now) const;
    /// An idle link whose relay is not used at present, in place of which another one could be
    /// opened; empty unless there are as many links as allowed.
    [[nodiscard]] std::optional<instance_id> replaceable_link(const backend_name& backend,
                                                              time_point now) const;
    /// Links that have been idle for too long, or whose relays are stopping and have no calls.
    [[nodiscard]] std::vector<instance_id> idle_links(time_point now) const;
    /// When the next link will have been idle for too long; empty if no link is idle.
    [[nodiscard]] std::optional<time_point> next_idle() const;

private:
    enum class link_state { none, dialling, open };

    struct refusal {
        time_point until{};
        duration pause{};
    };
    struct relay_state {
        location place;
        link_state link = link_state::none;
        std::size_t calls = 0;
        /// When the last call ended, or the link was opened.
        time_point idle_since{};
        time_point lost_until{};
        bool is_stopping = false;
        /// By backend.
        std::map<backend_name, refusal> refusals;
    };

    [[nodiscard]] std::size_t distance(const location& place) const;
    [[nodiscard]] std::size_t link_count() const;
    /// Whether the relay is one of those that may forward calls of the backend.
    [[nodiscard]] bool is_candidate(const instance_id& relay, const relay_state& state,
                                    const backend_name& backend) const;
    /// Whether such a relay may get a call, or be dialled for one, now.
    [[nodiscard]] bool is_usable(const instance_id& relay, const relay_state& state,
                                 const backend_name& backend, time_point now) const;
    /// The usable candidates of the backend whose link is in this state, by distance.
    [[nodiscard]] std::map<std::size_t, std::vector<instance_id>>
    usable(const backend_name& backend, const std::set<instance_id>& passed_over, link_state link,
           time_point now) const;
    /// The less loaded of two relays, chosen at random.
    [[nodiscard]] const instance_id& pick(const std::vector<instance_id>& relays);

    location place;
    relay_limits limits;
    std::mt19937_64 random;
    std::map<backend_name, std::set<instance_id>> candidates;
    std::map<instance_id, relay_state> relays;
};

} // namespace kingcupcart::relays
