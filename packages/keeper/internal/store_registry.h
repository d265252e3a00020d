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

/// The stores that connect to this keeper. Chooses the initial members of their group, and
/// determines whether a store may retire and whether it has been drained.
class store_registry {
public:
    explicit store_registry(std::size_t tolerated_losses) : tolerated_losses(tolerated_losses) {}

    void connected(const wire::hello& hello);
    void disconnected(const instance_id& store, time_point now);
    void registered(const instance_id& store, const wire::store_registration& registration,
                    time_point now);
    void report_received(const instance_id& store, const wire::store_report& report);
    /// Removes stores that have been without a link for too long.
    void remove_expired(time_point now);

    /// The members that are to bootstrap the stores' group; empty until enough stores have
    /// registered. Stores that are missing for long count towards the tolerated losses.
    [[nodiscard]] std::vector<replicated::store_member>
    choose_initial_members(time_point now) const;
    [[nodiscard]] std::vector<wire::store_address>
    addresses(const std::set<instance_id>& leaving) const;
    [[nodiscard]] bool contains(const instance_id& store) const {
        return this->stores.contains(store);
    }
    /// Whether enough stores would remain to survive the tolerated losses.
    [[nodiscard]] bool can_retire(const instance_id& store,
                                  const std::set<instance_id>& leaving) const;
    /// Whether the store is no longer a voter, and the group still has enough voters.
    [[nodiscard]] bool is_drained(const instance_id& store) const;

private:
    struct store_record {
        endpoint address;
        std::uint64_t disk = 0;
        bool may_bootstrap = false;
        bool is_linked = false;
        time_point disconnected_at{};
    };
    /// Voters, which hold every job, that the group needs so that a majority survives the tolerated
    /// losses.
    [[nodiscard]] std::size_t required_voters() const { return 2 * this->tolerated_losses + 1; }

    std::size_t tolerated_losses;
    std::map<instance_id, store_record> stores;
    std::optional<time_point> first_registration_at;
    wire::store_report newest_report;
};

} // namespace kingcupcart::keeper
