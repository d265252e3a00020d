#include "relays/relay_choice.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::relays {

relay_choice::relay_choice(location place, relay_limits limits, std::uint64_t seed)
    : place(std::move(place)), limits(limits), random(seed) {}

void relay_choice::set_candidates(const backend_name& backend,
                                  const std::vector<relay>& candidates) {
    std::set<instance_id>& named = this->candidates[backend];
    named.clear();
    for (const relay& candidate : candidates) {
        this->relays[candidate.id].place = candidate.place;
        named.insert(candidate.id);
    }
    std::erase_if(this->relays, [&](const auto& entry) {
        return entry.second.link == link_state::none && entry.second.calls == 0 &&
               std::none_of(
                   this->candidates.begin(), this->candidates.end(),
                   [&](const auto& listed) { return listed.second.contains(entry.first); });
    });
}

void relay_choice::link_dialled(const instance_id& relay) {
    this->relays[relay].link = link_state::dialling;
}

void relay_choice::link_opened(const instance_id& relay, time_point now) {
    relay_state& state = this->relays[relay];
    state.link = link_state::open;
    state.is_stopping = false;
    state.idle_since = now;
}

void relay_choice::link_lost(const instance_id& relay, time_point now) {
    relay_state& state = this->relays[relay];
    state.link = link_state::none;
    state.lost_until = now + this->limits.lost_link_pause;
}

void relay_choice::link_closed(const instance_id& relay) {
    this->relays[relay].link = link_state::none;
}

void relay_choice::link_stopping(const instance_id& relay, time_point now) {
    relay_state& state = this->relays[relay];
    state.is_stopping = true;
    // Its successor may start at the same address.
    state.lost_until = now + this->limits.lost_link_pause;
}

void relay_choice::call_sent(const instance_id& relay) {
    ++this->relays[relay].calls;
}

void relay_choice::call_ended(const instance_id& relay, time_point now) {
    relay_state& state = this->relays[relay];
    --state.calls;
    state.idle_since = now;
}

void relay_choice::call_refused(const instance_id& relay, const backend_name& backend,
                                time_point now) {
    refusal& last = this->relays[relay].refusals[backend];
    // Calls that were sent before the first refusal may be refused, too.
    if (last.pause == duration::zero() || last.until <= now) {
        last.pause = std::clamp(2 * last.pause, this->limits.refusal_pause,
                                this->limits.longest_refusal_pause);
    }
    last.until = now + last.pause;
}

void relay_choice::call_accepted(const instance_id& relay, const backend_name& backend) {
    this->relays[relay].refusals.erase(backend);
}

std::optional<instance_id> relay_choice::choose(const backend_name& backend,
                                                const std::set<instance_id>& passed_over,
                                                time_point now) {
    std::optional<instance_id> chosen;
    std::size_t lowest_cost = 0;
    for (const auto& [distance, open] : this->usable(backend, passed_over, link_state::open, now)) {
        const instance_id& best = this->pick(open);
        const std::size_t cost =
            this->relays.at(best).calls + distance * this->limits.calls_per_distance;
        if (!chosen || cost < lowest_cost) {
            chosen = best;
            lowest_cost = cost;
        }
    }
    return chosen;
}

bool relay_choice::is_scarce(const backend_name& backend, time_point now) const {
    const auto usable =
        std::count_if(this->relays.begin(), this->relays.end(), [&](const auto& entry) {
            return this->is_usable(entry.first, entry.second, backend, now);
        });
    return static_cast<std::size_t>(usable) < this->limits.scarce_relays;
}

bool relay_choice::has_candidates(const backend_name& backend,
                                  const std::set<instance_id>& passed_over) const {
    return std::any_of(this->relays.begin(), this->relays.end(), [&](const auto& entry) {
        return !passed_over.contains(entry.first) &&
               this->is_candidate(entry.first, entry.second, backend);
    });
}

std::vector<instance_id> relay_choice::choose_dials(const backend_name& backend,
                                                    const std::set<instance_id>& passed_over,
                                                    time_point now) {
    std::size_t links = 0;
    bool is_loaded = true;
    for (const link_state link : {link_state::dialling, link_state::open}) {
        for (const auto& [distance, linked] : this->usable(backend, passed_over, link, now)) {
            links += linked.size();
            is_loaded = is_loaded && std::all_of(linked.begin(), linked.end(), [&](const auto& id) {
                            return this->relays.at(id).calls >= this->limits.calls_per_link;
                        });
        }
    }
    const std::size_t wanted = std::max(this->limits.first_links, is_loaded ? links + 1 : links);
    const std::size_t room =
        this->limits.max_links - std::min(this->limits.max_links, this->link_count());
    std::size_t missing = std::min(wanted - links, room);
    std::vector<instance_id> chosen;
    for (auto& [distance, unlinked] : this->usable(backend, passed_over, link_state::none, now)) {
        std::vector<instance_id> relays = unlinked;
        std::shuffle(relays.begin(), relays.end(), this->random);
        for (const instance_id& id : relays) {
            if (missing == 0) {
                return chosen;
            }
            chosen.push_back(id);
            --missing;
        }
    }
    return chosen;
}

bool relay_choice::is_dialling(const backend_name& backend,
                               const std::set<instance_id>& passed_over, time_point now) const {
    return !this->usable(backend, passed_over, link_state::dialling, now).empty();
}

std::optional<instance_id> relay_choice::replaceable_link(const backend_name& backend,
                                                          time_point now) const {
    if (this->link_count() < this->limits.max_links) {
        return std::nullopt;
    }
    for (const auto& [id, state] : this->relays) {
        if (state.link == link_state::open && state.calls == 0 &&
            !this->is_usable(id, state, backend, now)) {
            return id;
        }
    }
    return std::nullopt;
}

std::vector<instance_id> relay_choice::idle_links(time_point now) const {
    std::vector<instance_id> idle;
    for (const auto& [id, state] : this->relays) {
        if (state.link == link_state::open && state.calls == 0 &&
            (state.is_stopping || state.idle_since + this->limits.max_idle <= now)) {
            idle.push_back(id);
        }
    }
    return idle;
}

std::optional<time_point> relay_choice::next_idle() const {
    std::optional<time_point> next;
    for (const auto& [id, state] : this->relays) {
        if (state.link == link_state::open && state.calls == 0) {
            const time_point due = state.idle_since + this->limits.max_idle;
            next = next ? std::min(*next, due) : due;
        }
    }
    return next;
}

std::size_t relay_choice::distance(const location& place) const {
    if (place.domain == this->place.domain) {
        return 0;
    }
    return place.region == this->place.region ? 1 : 2;
}

std::size_t relay_choice::link_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->relays.begin(), this->relays.end(),
                      [](const auto& entry) { return entry.second.link != link_state::none; }));
}

bool relay_choice::is_candidate(const instance_id& relay, const relay_state& state,
                                const backend_name& backend) const {
    const auto named = this->candidates.find(backend);
    return (named != this->candidates.end() && named->second.contains(relay)) ||
           (state.link != link_state::none && !state.refusals.contains(backend));
}

bool relay_choice::is_usable(const instance_id& relay, const relay_state& state,
                             const backend_name& backend, time_point now) const {
    const auto refused = state.refusals.find(backend);
    const bool is_refusing = refused != state.refusals.end() && now < refused->second.until;
    const bool is_lost = state.link == link_state::none && now < state.lost_until;
    const bool is_stopping = state.link != link_state::none && state.is_stopping;
    return !is_refusing && !is_lost && !is_stopping && this->is_candidate(relay, state, backend);
}

std::map<std::size_t, std::vector<instance_id>>
relay_choice::usable(const backend_name& backend, const std::set<instance_id>& passed_over,
                     link_state link, time_point now) const {
    std::map<std::size_t, std::vector<instance_id>> found;
    for (const auto& [id, state] : this->relays) {
        if (state.link == link && !passed_over.contains(id) &&
            this->is_usable(id, state, backend, now)) {
            found[this->distance(state.place)].push_back(id);
        }
    }
    return found;
}

const instance_id& relay_choice::pick(const std::vector<instance_id>& relays) {
    std::uniform_int_distribution<std::size_t> any(0, relays.size() - 1);
    const instance_id& first = relays[any(this->random)];
    const instance_id& second = relays[any(this->random)];
    return this->relays.at(second).calls < this->relays.at(first).calls ? second : first;
}

} // namespace kingcupcart::relays
