#pragma once

#include "base/ids.h"
#include "base/location.h"
#include "relays/relay.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace kingcupcart::relays {

/// The gateways that forward calls for others, with the backends that each is cut off from. Names
/// relays to those that ask, those first that were named longest ago, so that calls spread. A state
/// machine without I/O.
class reach_table {
public:
    explicit reach_table(std::uint64_t seed);

    /// Adds a gateway, or replaces it, as one that is cut off from no backend.
    void add(const relay& gateway);
    void remove(const instance_id& gateway);
    /// Returns false if nothing changed, as for a gateway that is not in the table.
    bool set_cut_off(const instance_id& gateway, std::set<backend_name> backends);

    /// Up to `max_candidates` gateways other than `asker` that are not cut off from the backend:
    /// `max_of_domain` of its failure domain, and others. Fewer of its domain where only few of
    /// the domain's gateways are left, which would get more calls than the others.
    [[nodiscard]] std::vector<instance_id> draw(const relay& asker, const backend_name& backend);

    [[nodiscard]] std::size_t size() const { return this->gateways.size(); }
    /// Gateways that are cut off from at least one backend.
    [[nodiscard]] std::size_t cut_off_count() const;

    static constexpr std::size_t max_candidates = 6;
    static constexpr std::size_t max_of_domain = 3;

private:
    struct gateway_state {
        location place;
        std::set<backend_name> cut_off;
        /// Number of the draw that named the gateway last; 0 if none did.
        std::uint64_t last_draw = 0;
    };

    /// Sorts by the time of the last draw, those that were never named in random order.
    void sort(std::vector<instance_id>& candidates);

    std::mt19937_64 random;
    std::uint64_t draws = 0;
    std::map<instance_id, gateway_state> gateways;
};

} // namespace kingcupcart::relays
