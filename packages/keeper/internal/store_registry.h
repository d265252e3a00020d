#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "replicated/commands.h"
#include "wire/messages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kingcupcart::keeper {

/// The stores that are linked to this keeper: who may begin their group, and how far the emptying
/// of a store is.
class store_registry {
public:
    explicit store_registry(std::size_t tolerated_losses) : tolerated_losses(tolerated_losses) {}

    void joined(const wire::hello& hello);
    void lost(const instance_id& store, time_point now);
    void presented(const instance_id& store, const wire::store_registration& said, time_point now);
    void reported(const instance_id& store, const wire::store_report& said);
    /// Forgets stores that were lost long ago.
    void forget_lost(time_point now);

    /// The founders, once enough stores are there; empty before.
    [[nodiscard]] std::vector<replicated::store_member> choose_founders(time_point now) const;
    [[nodiscard]] std::vector<wire::store_address>
    addresses(const std::set<instance_id>& leaving) const;
    [[nodiscard]] bool knows(const instance_id& store) const {
        return this->stores.contains(store);
    }
    /// Whether the stores that remain could still bear the losses that they have to.
    [[nodiscard]] bool can_spare(const instance_id& store,
                                 const std::set<instance_id>& leaving) const;
    /// Whether the group goes on without the store and holds all in enough places.
    [[nodiscard]] bool is_emptied(const instance_id& store) const;

private:
    struct entry {
        endpoint address;
        std::uint64_t disk = 0;
        bool may_bootstrap = false;
        bool is_linked = false;
        time_point lost_at{};
    };
    /// Stores that hold every job so that the losses are borne: a majority outlives them.
    [[nodiscard]] std::size_t wanted() const { return 2 * this->tolerated_losses + 1; }

    std::size_t tolerated_losses;
    std::map<instance_id, entry> stores;
    std::optional<time_point> first_founder;
    wire::store_report newest;
};

} // namespace kingcupcart::keeper
