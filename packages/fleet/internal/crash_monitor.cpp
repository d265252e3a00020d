#include "fleet/crash_monitor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace kingcupcart::fleet {

namespace {

wire::message to_message(const quarantine::account_message& message) {
    return std::visit([](const auto& content) { return wire::message(content); }, message);
}

/// Age of the latest crash, in milliseconds; 0 if none is known.
std::int64_t latest_age_ms(const quarantine::suspect_update& update) {
    const auto latest =
        std::min_element(update.latest.begin(), update.latest.end(),
                         [](const auto& left, const auto& right) { return left.age < right.age; });
    return latest == update.latest.end() ? 0 : latest->age / std::chrono::milliseconds(1);
}

} // namespace

crash_monitor::crash_monitor(const clock& time, callbacks notify)
    : time(time), notify(std::move(notify)), timer([this] { this->update(); }) {}

void crash_monitor::handle(const quarantine::suspect_update& update, const instance_id& from) {
    this->crashes.handle(update, this->time.now());
    const auto logged = this->logged_states.find(update.fingerprint);
    const bool is_cleared = update.state == quarantine::suspect_state::cleared;
    const bool is_known = logged != this->logged_states.end();
    if (is_known ? logged->second != update.state : !is_cleared) {
        spdlog::info("request under suspicion fingerprint={} state={} crashes={} source={} "
                     "age_ms={} next_trial_in_ms={}",
                     update.fingerprint.to_string(), quarantine::to_string(update.state),
                     update.crashes, from.value(), latest_age_ms(update),
                     update.next_trial_in / std::chrono::milliseconds(1));
    }
    if (is_cleared) {
        this->logged_states.erase(update.fingerprint);
    } else {
        this->logged_states.insert_or_assign(update.fingerprint, update.state);
    }
    this->update();
}

void crash_monitor::handle(const quarantine::trial_decision& decision, const instance_id& from) {
    spdlog::info("trial of a suspected request fingerprint={} verdict={} source={} "
                 "retry_after_ms={}",
                 decision.fingerprint.to_string(), quarantine::to_string(decision.verdict),
                 from.value(), decision.retry_after / std::chrono::milliseconds(1));
    this->crashes.handle(decision, this->time.now());
    this->update();
}

void crash_monitor::target_changed(const membership::target_record& record,
                                   const membership::directory& targets) {
    for (const quarantine::checked_target& suspect : this->crashes.unproven_targets()) {
        const membership::target_record* known = targets.find(suspect.target);
        const bool has_restarted =
            suspect.target == record.id && suspect.incarnation != record.incarnation;
        const bool is_replaced = suspect.target != record.id && known != nullptr &&
                                 known->address == record.address &&
                                 known->incarnation < record.incarnation;
        if (has_restarted || is_replaced) {
            this->record_check(suspect, true);
        }
    }
}

void crash_monitor::record_check(const quarantine::checked_target& target, bool has_ended) {
    const time_point now = this->time.now();
    spdlog::info("target {} after a lost connection target={} incarnation={} age_ms={}",
                 has_ended ? "has ended" : "is alive", target.target.value(),
                 target.incarnation.value(), (now - target.since) / std::chrono::milliseconds(1));
    if (has_ended) {
        ++this->targets_ended;
        this->crashes.record_target_ended(target.target, target.incarnation, now);
    } else {
        this->crashes.record_target_alive(target.target, target.incarnation, now);
    }
    this->update();
}

void crash_monitor::keeper_connected(const instance_id& keeper) {
    for (const quarantine::account_message& message :
         this->crashes.initial_messages(this->time.now())) {
        this->notify.send_to_keeper(keeper, to_message(message));
    }
}

void crash_monitor::update() {
    // The dispatcher calls again once it is notified of the change.
    if (std::exchange(this->is_updating, true)) {
        return;
    }
    const time_point now = this->time.now();
    for (auto changed = this->crashes.take_changed(now); !changed.empty();
         changed = this->crashes.take_changed(now)) {
        for (const request_fingerprint& fingerprint : changed) {
            this->notify.suspect_changed(fingerprint);
        }
    }
    for (const quarantine::account_message& message : this->crashes.collect(now)) {
        this->notify.send_to_keepers(to_message(message));
    }
    if (const auto next = this->crashes.next_wakeup()) {
        this->timer.arm(std::max(*next, now));
    } else {
        this->timer.disarm();
    }
    this->is_updating = false;
}

void crash_monitor::export_metrics(telemetry::metric_set& metrics) {
    metrics.set("crash_suspects", static_cast<double>(this->crashes.suspects()));
    metrics.set("crash_quarantined",
                static_cast<double>(this->crashes.quarantined(this->time.now())));
    metrics.set("crash_targets_ended", static_cast<double>(this->targets_ended));
}

} // namespace kingcupcart::fleet
