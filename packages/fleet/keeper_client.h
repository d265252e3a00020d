#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/location.h"
#include "fleet/crash_monitor.h"
#include "fleet/stream_records.h"
#include "fleet/target_limits.h"
#include "group/member_links.h"
#include "membership/directory.h"
#include "membership/directory_change.h"
#include "quorum/member.h"
#include "routes/route_table_parser.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace kingcupcart::fleet {

/// An instance's client of the keepers, for instances that are not keepers themselves. Holds links
/// to all known keepers and a copy of the deployment's state that they send: the route table in
/// force, the targets with their weights, and the stores. The copy stays usable while no keeper is
/// reachable.
class keeper_client {
public:
    struct callbacks {
        /// Creates the first message on each new link.
        std::function<wire::hello()> make_hello;
        std::function<void()> routes_changed;
        std::function<void(const membership::directory_change&)> target_changed;
        /// The permits of a limited target, or the expected wait for them, have changed.
        std::function<void(const target_id&)> permits_changed;
        /// The decision on whether a suspected request may be sent has changed.
        std::function<void(const request_fingerprint&)> suspect_changed;
        std::function<void()> stores_changed;
        std::function<void(const std::vector<quorum::member>&)> initial_members_received;
        std::function<void(const instance_id& keeper)> keeper_connected;
        /// Set by instances that look up relays.
        std::function<void(const wire::relay_lookup_response&)> relays_found =
            [](const wire::relay_lookup_response&) {};
        /// A keeper has sent its greeting on a new link.
        std::function<void(const instance_id& keeper)> keeper_greeted = [](const instance_id&) {};
    };

    /// `seeds` are the link addresses of some keepers; these report the addresses of the others.
    keeper_client(const clock& time, const std::vector<endpoint>& seeds,
                  routes::route_table_parser parse_route_table, callbacks notify);

    /// Null until the first usable route table has arrived.
    [[nodiscard]] const std::shared_ptr<const routes::route_table>& routes() const {
        return this->table;
    }
    /// Whether enough keepers have sent their routes that the newest committed version is among
    /// them.
    [[nodiscard]] bool has_confirmed_routes() const;
    /// When a keeper last sent anything over a link on which it had sent its routes before; the
    /// epoch if none did.
    [[nodiscard]] time_point last_contact_at() const;
    [[nodiscard]] const membership::directory& targets() const { return this->directory; }
    [[nodiscard]] const std::vector<wire::store_address>& stores() const {
        return this->known_stores;
    }
    [[nodiscard]] std::size_t open_link_count() const { return this->links.open_count(); }

    /// Adds keepers to connect to.
    void add_seeds(const std::vector<endpoint>& seeds);
    /// Returns false if the link to the keeper is not open.
    bool send(const instance_id& keeper, const wire::message& message) {
        return this->links.send(keeper, message);
    }
    void send_to_all(const wire::message& message) { this->links.send_to_all(message); }
    /// Sends the message to the keepers whose build understands this revision of the protocol.
    void send_to_revision(std::uint16_t revision, const wire::message& message);
    /// The revision of the keeper's build; 0 while its link is not open.
    [[nodiscard]] std::uint16_t revision_of(const instance_id& keeper) const;
    /// Sends a question to one keeper: to the nearest one whose link is open, and to the next one
    /// if the last question was asked so recently that it may not have been answered. Returns false
    /// if no link is open.
    bool ask_nearest(const wire::message& question);
    /// Marks the target as leaving after it said so in a response, and notifies the keepers. The
    /// mark outlasts updates of the keepers until another incarnation of the target starts.
    void mark_leaving(const target_id& target, incarnation_id incarnation);
    [[nodiscard]] target_limits& limits() { return this->known_limits; }
    [[nodiscard]] crash_monitor& crashes() { return this->known_crashes; }
    [[nodiscard]] stream_records& streams() { return this->known_streams; }

private:
    void receive(const instance_id& from, const wire::message& message);
    void update_routes(const instance_id& from, const wire::routes_update& update);
    void update_fleet(const wire::fleet_update& update);
    void update_target(const instance_id& from, const membership::target_record& record);
    [[nodiscard]] bool is_marked(const membership::target_record& record) const;

    routes::route_table_parser parse_route_table;
    callbacks notify;
    std::shared_ptr<const routes::route_table> table;
    /// The last version that could not be parsed; ignored when another keeper sends it.
    configuration_version rejected_version;
    /// Keepers that have sent the version of their routes.
    std::set<instance_id> route_confirmations;
    /// Keepers that have sent their routes over the link that is open.
    std::set<instance_id> current_keepers;
    /// Of the links that are lost.
    time_point earlier_contact_at{};
    std::size_t keeper_majority = 1;
    membership::directory directory;
    /// Targets that said in a response that they are leaving.
    std::map<target_id, incarnation_id> leaving_targets;
    std::vector<wire::store_address> known_stores;
    const clock& time;
    target_limits known_limits;
    crash_monitor known_crashes;
    stream_records known_streams;
    location place;
    /// Where the keepers are, as far as they said so.
    std::map<instance_id, location> keeper_places;
    /// Protocol revisions of the keepers whose greeting was received on the current link.
    std::map<instance_id, std::uint16_t> keeper_revisions;
    time_point last_asked_at{};
    /// Keepers that were asked one after the other since the last pause.
    std::size_t asked_in_a_row = 0;
    group::member_links links;
};

} // namespace kingcupcart::fleet
