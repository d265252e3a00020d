#include "fleet/target_limits.h"

#include "wire/limit_report.h"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

namespace kingcupcart::fleet {

namespace {

/// Shortest time between two log lines about limits that can't be read.
constexpr duration malformed_log_interval = std::chrono::seconds(1);
/// Shortest time between two reports of a limit whose number changes from response to response.
constexpr duration report_interval = std::chrono::milliseconds(250);

} // namespace

target_limits::target_limits(const clock& time, std::uint64_t seed, callbacks notify)
    : time(time),
      notify(std::move(notify)),
      permits({}, seed),
      demand_timer([this] { this->handle_timer(); }) {}

void target_limits::record(const target_id& target, incarnation_id incarnation,
                           const permits::limit_statement& statement, time_point sent_at) {
    if (statement.says == permits::limit_statement::kind::malformed) {
        this->count_malformed(target, incarnation);
    }
    if (const auto stated = this->table().read(target, incarnation, statement, sent_at)) {
        this->apply(*stated, "response");
        this->report_change(target);
    }
}

void target_limits::count_malformed(const target_id& target, incarnation_id incarnation) {
    ++this->malformed;
    const time_point now = this->time.now();
    if (now - this->malformed_logged_at >= malformed_log_interval) {
        this->malformed_logged_at = now;
        spdlog::warn("target limit can't be read target={} incarnation={} seen={}", target.value(),
                     incarnation.value(), this->malformed);
    }
}

void target_limits::handle(const wire::limit_report& report, const instance_id& from) {
    this->apply(wire::parse_limit_report(report, this->time.now()), from.value());
}

void target_limits::apply(const permits::target_limit& limit, const std::string& source) {
    using permits::limit_change;
    const limit_change change = this->permits.apply(limit);
    if (change == limit_change::none) {
        return;
    }
    const time_point now = this->time.now();
    spdlog::info("target limit {} target={} incarnation={} rate={} source={} age_ms={}",
                 permits::to_string(change), limit.target.value(), limit.incarnation.value(),
                 limit.rate ? limit.rate->count() : 0, source,
                 (now - limit.stated_at) / std::chrono::milliseconds(1));
    if (source != "response") {
        this->known_to_keepers[limit.target].rate = limit.rate;
    } else if (change != limit_change::changed) {
        this->known_to_keepers[limit.target] = {limit.rate, now};
        this->notify.send_to_keepers(wire::make_limit_report(limit, now));
    }
    this->notify.permits_changed(limit.target);
}

void target_limits::report(const target_id& target) {
    if (const permits::target_limit* limit = this->permits.table().find(target)) {
        this->notify.send_to_keepers(wire::make_limit_report(*limit, this->time.now()));
    }
}

void target_limits::report_change(const target_id& target) {
    const permits::target_limit* limit = this->table().find(target);
    known_rate& known = this->known_to_keepers[target];
    const time_point now = this->time.now();
    if (limit != nullptr && limit->rate != known.rate &&
        now - known.reported_at >= report_interval) {
        known = {limit->rate, now};
        this->report(target);
    }
}

void target_limits::handle(const wire::permit_grants& grants) {
    const time_point now = this->time.now();
    for (const permits::permit_grant& grant : grants.grants) {
        this->permits.handle(grant, now);
    }
    for (const permits::permit_grant& grant : grants.grants) {
        this->notify.permits_changed(grant.target);
    }
    this->update_demands();
}

void target_limits::target_changed(const target_id& target, incarnation_id incarnation) {
    this->permits.set_incarnation(target, incarnation);
}

void target_limits::target_removed(const target_id& target) {
    this->permits.remove(target);
    this->known_to_keepers.erase(target);
}

void target_limits::keeper_connected() {
    for (const permits::target_limit& limit : this->permits.table().limits()) {
        this->report(limit.target);
    }
}

void target_limits::update_demands() {
    if (this->permits.table().empty()) {
        return;
    }
    const time_point now = this->time.now();
    wire::permit_demands demands;
    demands.demands = this->permits.collect_demands(now);
    for (const permits::permit_demand& demand : demands.demands) {
        if (this->permits.is_unanswered(demand.target, now)) {
            // The leading keeper may not know the limit.
            this->report(demand.target);
        }
    }
    if (!demands.demands.empty()) {
        this->notify.send_to_keepers(demands);
    }
    if (const auto next = this->permits.next_wakeup()) {
        this->demand_timer.arm(*next);
    }
}

void target_limits::export_metrics(telemetry::metric_set& metrics) {
    const time_point now = this->time.now();
    const auto set = [&](const std::string& name, const target_id& target, double value) {
        metrics.set(name + "{target=\"" + target.value() + "\"}", value);
    };
    for (const target_id& target : std::exchange(this->exported, {})) {
        set("target_limit_per_second", target, 0);
        set("target_permits_held", target, 0);
        set("target_requests_in_4_seconds", target, 0);
    }
    for (const permits::target_limit& limit : this->table().limits()) {
        const target_id& target = limit.target;
        set("target_limit_per_second", target, limit.rate->count());
        set("target_permits_held", target, static_cast<double>(this->permits.held(target, now)));
        set("target_requests_in_4_seconds", target,
            static_cast<double>(this->permits.sent_recently(target, now)));
        this->exported.insert(target);
    }
    metrics.set("target_limits_malformed", static_cast<double>(this->malformed));
}

void target_limits::handle_timer() {
    for (const target_id& target : this->permits.available_targets(this->time.now())) {
        this->notify.permits_changed(target);
    }
    this->update_demands();
}

} // namespace kingcupcart::fleet
