#include "keeper/internal/target_control.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>

namespace kingcupcart::keeper {

namespace {

/// The heartbeat of a target is relayed to the other keepers until it is this old: a little over
/// two heartbeat intervals.
constexpr duration heartbeat_relay_time = std::chrono::milliseconds(2600);

} // namespace

target_control::target_control(parameters arguments)
    : params(std::move(arguments)),
      targets(location{}, membership::lease_scope::all_domains),
      started_at(this->params.time->now()) {}

void target_control::handle(const target_heartbeat& call) {
    membership::target_record record = call.record;
    if (record.leaving && !this->params.has_contact_with_group()) {
        call.reply.post({control_status::unavailable, {}, "no contact with the other keepers"});
        return;
    }
    const membership::target_record* known = this->targets.find(record.id);
    if (known != nullptr && known->incarnation == record.incarnation) {
        // The target may have sent this heartbeat before it finished loading weights.
        for (const membership::model_weights& model : known->weights) {
            membership::merge_weights(record.weights, model);
        }
        record.loading = known->loading;
        record.leaving = record.leaving || known->leaving;
    }
    const time_point now = this->params.time->now();
    const auto change = this->targets.announce(record, this->params.lease, now);
    if (change.event != membership::directory_event::stale) {
        this->last_heartbeats[record.id] = now;
    }
    this->broadcast(change);
    call.reply.post({});
}

void target_control::handle(const deregister_target& call) {
    if (!this->params.has_contact_with_group()) {
        call.reply.post({control_status::unavailable, {}, "no contact with the other keepers"});
        return;
    }
    const membership::target_record* known = this->targets.find(call.target);
    const bool is_identified = call.incarnation.value() != 0;
    if (known == nullptr && !is_identified && !this->has_complete_targets()) {
        call.reply.post(
            {control_status::unavailable, {}, "this keeper does not know the replica yet"});
        return;
    }
    membership::target_record removed;
    if (known != nullptr) {
        removed = *known;
    } else {
        // Other instances may know it, for instance since this keeper has restarted.
        removed.id = call.target;
        removed.incarnation = call.incarnation;
    }
    const bool is_current =
        known == nullptr || !is_identified || call.incarnation == known->incarnation;
    if (is_current && (known != nullptr || is_identified)) {
        removed.leaving = true;
        removed.gone = true;
        // Later heartbeats of this incarnation are stale.
        removed.sequence = std::numeric_limits<std::uint64_t>::max();
        this->remove_target(removed);
    }
    call.reply.post({});
}

bool target_control::has_complete_targets() const {
    return this->params.time->now() - this->started_at >= this->params.lease;
}

void target_control::remove_target(const membership::target_record& removed) {
    const auto change =
        this->targets.apply_update(removed, this->params.lease, this->params.time->now());
    this->last_heartbeats.erase(removed.id);
    if (change.is_record_change()) {
        this->broadcast(change);
        return;
    }
    spdlog::info("target removed that is not known here target={} incarnation={}",
                 removed.id.value(), removed.incarnation.value());
    this->params.send_to_keepers(wire::target_update{removed});
    this->params.send_to_gateways_and_stores(wire::target_update{removed});
}

void target_control::handle(const wire::target_update& update) {
    this->handle_change(
        this->targets.apply_update(update.record, this->params.lease, this->params.time->now()));
}

void target_control::handle(const wire::target_heartbeats& heartbeats) {
    const time_point now = this->params.time->now();
    for (const membership::target_load& target : heartbeats.targets) {
        this->targets.renew(target.id, this->params.lease, now);
    }
}

void target_control::mark_leaving(const target_id& target, incarnation_id incarnation) {
    const membership::target_record* known = this->targets.find(target);
    if (known == nullptr || known->incarnation != incarnation || known->leaving) {
        return;
    }
    membership::target_record leaving = *known;
    leaving.leaving = true;
    ++leaving.revision;
    this->broadcast(
        this->targets.apply_update(leaving, this->params.lease, this->params.time->now()));
}

void target_control::broadcast(const membership::directory_change& change) {
    if (change.is_record_change()) {
        this->params.send_to_keepers(wire::target_update{change.record});
    }
    this->handle_change(change);
}

void target_control::handle_change(const membership::directory_change& change) {
    if (!change.is_record_change()) {
        return;
    }
    const membership::target_record& record = change.record;
    spdlog::info("target {} target={} backend={} address={} incarnation={} software={} sequence={} "
                 "leaving={}",
                 membership::to_string(change.event), record.id.value(), record.backend.value(),
                 record.address.to_string(), record.incarnation.value(), record.software.value(),
                 record.sequence, record.leaving);
    this->params.send_to_gateways_and_stores(wire::target_update{record});
    this->params.target_changed(change);
}

void target_control::change_record(const target_id& target,
                                   const std::function<void(membership::target_record&)>& change) {
    const membership::target_record* known = this->targets.find(target);
    if (known == nullptr) {
        return;
    }
    membership::target_record changed = *known;
    change(changed);
    if (changed == *known) {
        return;
    }
    ++changed.revision;
    const auto applied_change =
        this->targets.apply_update(changed, this->params.lease, this->params.time->now());
    if (applied_change.is_record_change()) {
        // The planner isn't notified, since the change results from its own actions.
        this->params.send_to_keepers(wire::target_update{changed});
        this->params.send_to_gateways_and_stores(wire::target_update{changed});
    }
}

void target_control::renew_leases() {
    const time_point now = this->params.time->now();
    for (const membership::target_record& record : this->targets.records()) {
        this->targets.renew(record.id, this->params.lease, now);
    }
}

void target_control::remove_expired() {
    for (const auto& change : this->targets.expire(this->params.time->now())) {
        this->last_heartbeats.erase(change.record.id);
        this->broadcast(change);
    }
}

void target_control::relay_heartbeats() {
    const time_point now = this->params.time->now();
    wire::target_heartbeats heartbeats;
    for (const auto& [target, at] : this->last_heartbeats) {
        if (now - at < heartbeat_relay_time) {
            heartbeats.targets.push_back({target, 0, 0});
        }
    }
    if (!heartbeats.targets.empty()) {
        this->params.send_to_keepers(heartbeats);
    }
}

std::vector<wire::message> target_control::initial_messages() const {
    std::vector<wire::message> messages;
    for (const membership::target_record& record : this->targets.records_with_removed()) {
        messages.emplace_back(wire::target_update{record});
    }
    return messages;
}

} // namespace kingcupcart::keeper
