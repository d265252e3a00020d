#include "fleet/keeper_client.h"

#include "base/stable_hash.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::fleet {

namespace {

/// Targets stay in the directory until a keeper reports their removal.
constexpr duration unlimited_lease = std::chrono::hours(24 * 365);
/// A question that was asked this long ago has been answered, or its keeper does not respond.
constexpr duration answer_time = std::chrono::seconds(2);

instance_id id_of(const endpoint& address) {
    return instance_id(address.to_string());
}

} // namespace

keeper_client::keeper_client(const clock& time, const std::vector<endpoint>& seeds,
                             routes::route_table_parser parse_route_table, callbacks notify)
    : parse_route_table(parse_route_table),
      notify(std::move(notify)),
      directory(location{}),
      time(time),
      known_limits(time, stable_hash(this->notify.make_hello().instance.value()),
                   {[this](const wire::message& message) { this->links.send_to_all(message); },
                    [this](const target_id& target) { this->notify.permits_changed(target); }}),
      known_crashes(time,
                    {[this](const wire::message& message) { this->links.send_to_all(message); },
                     [this](const instance_id& keeper, const wire::message& message) {
                         this->links.send(keeper, message);
                     },
                     [this](const request_fingerprint& fingerprint) {
                         this->notify.suspect_changed(fingerprint);
                     }}),
      known_streams(time, this->notify.make_hello().place.domain,
                    [this](const instance_id& keeper, const wire::message& message) {
                        return this->links.send(keeper, message);
                    }),
      place(this->notify.make_hello().place),
      links(time, {this->notify.make_hello,
                   [this](const instance_id& keeper) {
                       spdlog::info("connected to keeper keeper={}", keeper.value());
                       this->known_limits.keeper_connected();
                       this->known_crashes.keeper_connected(keeper);
                       this->notify.keeper_connected(keeper);
                   },
                   [this](const instance_id& from, const wire::message& message) {
                       this->receive(from, message);
                   },
                   [this](const instance_id& keeper) {
                       spdlog::warn("lost connection to keeper keeper={} reached={}",
                                    keeper.value(), this->links.open_count());
                       if (this->current_keepers.erase(keeper) > 0) {
                           this->earlier_contact_at = std::max(
                               this->earlier_contact_at, this->links.last_received_at(keeper));
                       }
                       this->known_streams.keeper_lost(keeper);
                       this->keeper_revisions.erase(keeper);
                   }}) {
    this->add_seeds(seeds);
}

void keeper_client::add_seeds(const std::vector<endpoint>& seeds) {
    for (const endpoint& seed : seeds) {
        this->links.add(id_of(seed), seed);
    }
}

void keeper_client::send_to_revision(std::uint16_t revision, const wire::message& message) {
    for (const auto& [keeper, known] : this->keeper_revisions) {
        if (known >= revision) {
            this->links.send(keeper, message);
        }
    }
}

std::uint16_t keeper_client::revision_of(const instance_id& keeper) const {
    const auto found = this->keeper_revisions.find(keeper);
    return found == this->keeper_revisions.end() ? 0 : found->second;
}

bool keeper_client::ask_nearest(const wire::message& question) {
    const time_point now = this->time.now();
    this->asked_in_a_row = now < this->last_asked_at + answer_time ? this->asked_in_a_row + 1 : 0;
    this->last_asked_at = now;
    std::vector<instance_id> keepers = this->links.ids();
    std::erase_if(keepers, [&](const instance_id& id) { return !this->links.is_open(id); });
    const auto distance_to = [&](const instance_id& id) {
        const auto found = this->keeper_places.find(id);
        if (found == this->keeper_places.end() || found->second.region != this->place.region) {
            return 2;
        }
        return found->second.domain == this->place.domain ? 0 : 1;
    };
    std::stable_sort(keepers.begin(), keepers.end(),
                     [&](const instance_id& left, const instance_id& right) {
                         return distance_to(left) < distance_to(right);
                     });
    return !keepers.empty() &&
           this->links.send(keepers[this->asked_in_a_row % keepers.size()], question);
}

bool keeper_client::has_confirmed_routes() const {
    return this->table != nullptr && this->route_confirmations.size() >= this->keeper_majority;
}

time_point keeper_client::last_contact_at() const {
    time_point latest = this->earlier_contact_at;
    for (const instance_id& keeper : this->current_keepers) {
        latest = std::max(latest, this->links.last_received_at(keeper));
    }
    return latest;
}

void keeper_client::receive(const instance_id& from, const wire::message& message) {
    if (const auto* routes = std::get_if<wire::routes_update>(&message)) {
        this->update_routes(from, *routes);
    } else if (const auto* target = std::get_if<wire::target_update>(&message)) {
        this->update_target(from, target->record);
    } else if (const auto* fleet = std::get_if<wire::fleet_update>(&message)) {
        this->update_fleet(*fleet);
    } else if (const auto* limit = std::get_if<wire::limit_report>(&message)) {
        // Limits of targets that are gone would never be removed.
        if (this->directory.find(limit->target) != nullptr) {
            this->known_limits.handle(*limit, from);
        }
    } else if (const auto* grants = std::get_if<wire::permit_grants>(&message)) {
        this->known_limits.handle(*grants);
    } else if (const auto* suspect = std::get_if<quarantine::suspect_update>(&message)) {
        this->known_crashes.handle(*suspect, from);
    } else if (const auto* decision = std::get_if<quarantine::trial_decision>(&message)) {
        this->known_crashes.handle(*decision, from);
    } else if (const auto* response = std::get_if<wire::stream_lookup_response>(&message)) {
        this->known_streams.handle(*response, from);
    } else if (const auto* found = std::get_if<wire::relay_lookup_response>(&message)) {
        this->notify.relays_found(*found);
    } else if (const auto* greeting = std::get_if<wire::hello>(&message)) {
        this->keeper_places.insert_or_assign(from, greeting->place);
        this->known_streams.keeper_connected(from, greeting->place);
        this->keeper_revisions.insert_or_assign(from, greeting->revision);
        this->notify.keeper_greeted(from);
    } else if (const auto* initial_members = std::get_if<wire::initial_members_update>(&message)) {
        this->notify.initial_members_received(initial_members->initial_members);
    }
}

bool keeper_client::is_marked(const membership::target_record& record) const {
    const auto found = this->leaving_targets.find(record.id);
    return found != this->leaving_targets.end() && found->second == record.incarnation;
}

void keeper_client::update_target(const instance_id& from,
                                  const membership::target_record& update) {
    membership::target_record record = update;
    // The keepers' record may be older than the response in which the target said so.
    record.leaving = record.leaving || this->is_marked(record);
    const auto change = this->directory.apply_update(record, unlimited_lease, this->time.now());
    if (!change.is_record_change()) {
        return;
    }
    if (!this->is_marked(record) || record.gone) {
        this->leaving_targets.erase(record.id);
    }
    spdlog::info("target {} target={} backend={} incarnation={} software={} sequence={} leaving={} "
                 "from={}",
                 membership::to_string(change.event), record.id.value(), record.backend.value(),
                 record.incarnation.value(), record.software.value(), record.sequence,
                 record.leaving, from.value());
    if (change.event == membership::directory_event::removed) {
        this->known_limits.target_removed(record.id);
    } else {
        this->known_limits.target_changed(record.id, record.incarnation);
        this->known_crashes.target_changed(record, this->directory);
    }
    this->notify.target_changed(change);
}

void keeper_client::mark_leaving(const target_id& target, incarnation_id incarnation) {
    const membership::target_record* known = this->directory.find(target);
    if (known == nullptr || known->incarnation != incarnation || this->is_marked(*known)) {
        return;
    }
    this->leaving_targets.insert_or_assign(target, incarnation);
    this->links.send_to_all(wire::target_leaving{target, incarnation});
    const auto change = this->directory.mark_leaving(target);
    spdlog::info("target says that it is leaving target={} backend={} incarnation={} known={}",
                 target.value(), known->backend.value(), incarnation.value(),
                 !change.is_record_change());
    if (change.is_record_change()) {
        this->notify.target_changed(change);
    }
}

void keeper_client::update_routes(const instance_id& from, const wire::routes_update& update) {
    this->route_confirmations.insert(from);
    this->current_keepers.insert(from);
    const bool is_newer = this->table == nullptr || update.version > this->table->version;
    if (update.version == configuration_version(0) || !is_newer ||
        update.version == this->rejected_version) {
        return;
    }
    auto parsed = value_or_error([&] { return this->parse_route_table(update.document); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        this->rejected_version = update.version;
        spdlog::error("rejected unreadable routes version={} from={} error=\"{}\"",
                      update.version.value(), from.value(), problem->message);
        return;
    }
    this->table = std::make_shared<const routes::route_table>(
        std::get<routes::route_table>(std::move(parsed)));
    spdlog::info("routes in force version={} routes={} from={}", update.version.value(),
                 this->table->routes.size(), from.value());
    this->notify.routes_changed();
}

void keeper_client::update_fleet(const wire::fleet_update& update) {
    this->keeper_majority = std::max<std::size_t>(1, update.keeper_majority);
    for (const wire::instance_address& keeper : update.keepers) {
        this->links.add(id_of(keeper.address), keeper.address);
    }
    if (update.stores != this->known_stores) {
        this->known_stores = update.stores;
        this->notify.stores_changed();
    }
}

} // namespace kingcupcart::fleet
