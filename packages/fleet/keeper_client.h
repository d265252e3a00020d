#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "group/member_links.h"
#include "membership/directory.h"
#include "membership/directory_change.h"
#include "quorum/member.h"
#include "routes/table_reader.h"
#include "wire/messages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace kingcupcart::fleet {

/// What an instance that is no keeper knows of its deployment, learned from all keepers that it
/// reaches: the routes in force, the targets, the weights that were named, the stores. It keeps
/// what it knows while it reaches none.
class keeper_client {
public:
    struct callbacks {
        std::function<wire::hello()> greeting;
        std::function<void()> routes_changed;
        std::function<void(const membership::directory_change&)> target_changed;
        std::function<void()> stores_changed;
        std::function<void(const std::vector<quorum::member>&)> founders_told;
        /// A link to a keeper is open.
        std::function<void(const instance_id& keeper)> opened;
    };

    /// `seeds` are the link addresses of some keepers.
    keeper_client(const clock& time, const std::vector<endpoint>& seeds,
                  routes::table_reader read_table, callbacks notify);

    /// Null while no routes are known.
    [[nodiscard]] const std::shared_ptr<const routes::route_table>& routes() const {
        return this->table;
    }
    /// Whether so many keepers told their routes that the newest accepted ones are among them.
    [[nodiscard]] bool has_confirmed_routes() const;
    [[nodiscard]] const membership::directory& targets() const { return this->directory; }
    [[nodiscard]] const std::vector<wire::store_address>& stores() const {
        return this->all_stores;
    }
    [[nodiscard]] std::size_t open_links() const { return this->links.open_count(); }

    /// Further keepers to try.
    void add_seeds(const std::vector<endpoint>& seeds);
    bool send(const instance_id& keeper, const wire::message& said) {
        return this->links.send(keeper, said);
    }
    void send_to_all(const wire::message& said) { this->links.send_to_all(said); }

private:
    void received(const instance_id& from, const wire::message& said);
    void learn_routes(const instance_id& from, const wire::routes_update& news);
    void learn_fleet(const wire::fleet_update& news);

    routes::table_reader read_table;
    callbacks notify;
    std::shared_ptr<const routes::route_table> table;
    configuration_version refused_version;
    /// Keepers that have told which routes they know.
    std::set<instance_id> confirmed_by;
    std::size_t keepers_needed = 1;
    membership::directory directory;
    std::vector<wire::store_address> all_stores;
    const clock& time;
    group::member_links links;
};

} // namespace kingcupcart::fleet
