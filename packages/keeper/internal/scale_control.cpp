#include "keeper/internal/scale_control.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace kingcupcart::keeper {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

scaling::order_result to_result(duties::call_outcome outcome) {
    switch (outcome) {
    case duties::call_outcome::accepted:
        return scaling::order_result::accepted;
    case duties::call_outcome::none_available:
        return scaling::order_result::none_available;
    case duties::call_outcome::busy:
        return scaling::order_result::busy;
    case duties::call_outcome::refused:
        return scaling::order_result::refused;
    case duties::call_outcome::unknown:
        break;
    }
    return scaling::order_result::unknown;
}

std::string pool_labels(const scaling::replica_pool& pool) {
    return "{service=\"" + pool.service.value() + "\",domain=\"" + pool.domain.value() +
           "\",kind=\"" + to_string(pool.kind) + "\"}";
}

} // namespace

scale_control::scale_control(parameters arguments)
    : params(std::move(arguments)), timer([this] { this->dispatch(scaling::timer_expired{}); }) {}

scale_control::~scale_control() = default;

void scale_control::routes_changed(const routes::route_table& table) {
    scaling::services_changed changed;
    for (const routes::service& service : table.services) {
        if (service.scaling) {
            const int slots = service.engine ? service.engine->slots : 0;
            changed.services.push_back({service.name, slot_count(slots), *service.scaling});
        }
    }
    this->dispatch(changed);
}

void scale_control::target_changed(const membership::directory_change& change) {
    const membership::target_record& record = change.record;
    if (change.event == membership::directory_event::removed) {
        this->dispatch(scaling::replica_removed{record.id});
        return;
    }
    const auto kind = record.spot ? scaling::replica_kind::spot : scaling::replica_kind::normal;
    this->dispatch(scaling::replica_updated{record.id, record.backend, record.place.domain, kind,
                                            record.leaving});
}

void scale_control::demand_received(const wire::model_demand_report& report) {
    std::map<backend_name, std::vector<scaling::model_load>> loads;
    for (const wire::model_demand& demand : report.models) {
        loads[demand.service].push_back(
            {demand.model, slot_count(static_cast<std::int64_t>(demand.largest_step_items)),
             slot_count(static_cast<std::int64_t>(demand.waiting_items)),
             demand.expected_lateness});
    }
    for (auto& [service, models] : loads) {
        this->dispatch(scaling::load_report{service, std::move(models)});
    }
}

void scale_control::leadership_changed(bool is_leader) {
    if (!is_leader) {
        this->set_authority(false);
    }
}

void scale_control::check_authority() {
    if (!this->has_authority && this->params.may_order()) {
        this->set_authority(true);
    }
}

void scale_control::set_authority(bool may_order) {
    if (std::exchange(this->has_authority, may_order) != may_order) {
        spdlog::info("authority to order replicas changed may_order={}", may_order);
        this->dispatch(scaling::authority_changed{may_order});
    }
}

void scale_control::export_metrics() const {
    for (const scaling::pool_numbers& numbers : this->scaler.numbers()) {
        const std::string labels = pool_labels(numbers.pool);
        this->params.metrics->set("scale_replicas_present" + labels,
                                  static_cast<double>(numbers.present.count()));
        this->params.metrics->set("scale_replicas_ordered" + labels,
                                  static_cast<double>(numbers.ordered.count()));
    }
}

void scale_control::dispatch(const scaling::scaler_message& message) {
    const scaling::scaler_actions actions = this->scaler.handle(message, this->params.time->now());
    for (const scaling::scaler_action& action : actions) {
        std::visit([this](const auto& alternative) { this->execute(alternative); }, action);
    }
    if (const auto next = this->scaler.next_wakeup()) {
        this->timer.arm(*next);
    } else {
        this->timer.disarm();
    }
}

void scale_control::execute(const scaling::order_replicas& order) {
    const scaling::decision_basis& basis = order.basis;
    spdlog::info("replicas ordered service={} domain={} kind={} desired={} present={} reason={} "
                 "repeated={} needed={} expected={} slots={} waiting={} late_ms={} load_age_ms={}",
                 order.service.value(), order.domain.value(), to_string(order.kind),
                 order.desired.count(), basis.present.count(), to_string(order.reason),
                 order.is_repeated, basis.needed.count(), basis.expected.count(),
                 basis.needed_slots.count(), basis.waiting.count(),
                 duration_cast<milliseconds>(basis.lateness).count(),
                 duration_cast<milliseconds>(basis.load_age).count());
    this->params.metrics->count("scale_orders_total{reason=\"" +
                                std::string(to_string(order.reason)) + "\"}");
    duties::scale_order call;
    call.service = order.service;
    call.domain = order.domain;
    call.desired = static_cast<int>(order.desired.count());
    call.is_spot = order.kind == scaling::replica_kind::spot;
    this->params.send(call, [this, order](duties::call_outcome outcome) {
        spdlog::info("replica order answered service={} domain={} kind={} desired={} outcome={}",
                     order.service.value(), order.domain.value(), to_string(order.kind),
                     order.desired.count(), duties::to_string(outcome));
        this->params.metrics->count("scale_order_outcomes_total{outcome=\"" +
                                    std::string(duties::to_string(outcome)) + "\"}");
        this->dispatch(
            scaling::order_response{order.service, order.domain, order.number, to_result(outcome)});
    });
}

void scale_control::execute(const scaling::replicas_missing& missing) {
    spdlog::warn("ordered replicas are missing service={} domain={} kind={} desired={} present={} "
                 "since_order_ms={}",
                 missing.service.value(), missing.domain.value(), to_string(missing.kind),
                 missing.desired.count(), missing.present.count(),
                 duration_cast<milliseconds>(missing.since_order).count());
    this->params.metrics->count("scale_replicas_missing_total");
}

} // namespace kingcupcart::keeper
