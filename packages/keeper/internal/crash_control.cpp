#include "keeper/internal/crash_control.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <type_traits>
#include <utility>
#include <variant>

namespace kingcupcart::keeper {

crash_control::crash_control(parameters arguments)
    : params(std::move(arguments)), timer([this] { this->update(); }) {}

bool crash_control::handle(const instance_id& from, const wire::message& message) {
    return std::visit(
        [&](const auto& content) {
            using content_type = std::decay_t<decltype(content)>;
            constexpr bool is_of_sender =
                std::is_constructible_v<quarantine::account_message, const content_type&>;
            if constexpr (is_of_sender) {
                this->handle_sender_message(from, content);
            }
            return is_of_sender;
        },
        message);
}

void crash_control::handle_sender_message(const instance_id& from,
                                          const quarantine::account_message& message) {
    const time_point now = this->params.time->now();
    this->registry.set_authority(this->params.is_leading(), now);
    this->registry.handle(from, message, now);
    this->update();
}

void crash_control::instance_disconnected(const instance_id& instance) {
    this->registry.remove_sender(instance, this->params.time->now());
    this->update();
}

void crash_control::leadership_changed(bool is_leader) {
    if (!is_leader) {
        this->registry.set_authority(false, this->params.time->now());
    }
    this->update();
}

void crash_control::update() {
    const time_point now = this->params.time->now();
    this->registry.set_authority(this->params.is_leading(), now);
    for (const quarantine::addressed_message& addressed : this->registry.collect(now)) {
        const wire::message message = std::visit(
            [](const auto& content) { return wire::message(content); }, addressed.content);
        if (addressed.recipient) {
            this->params.send_to_instance(*addressed.recipient, message);
        } else {
            this->params.send_to_gateways_and_stores(message);
        }
    }
    for (const quarantine::quarantine_event& event : this->registry.take_events()) {
        spdlog::info("request {} as crashing its targets fingerprint={} crashes={} source={} "
                     "age_ms={}",
                     quarantine::to_string(event.transition), event.fingerprint.to_string(),
                     event.crashes, event.source.value(), event.age / std::chrono::milliseconds(1));
    }
    if (const auto next = this->registry.next_wakeup()) {
        this->timer.arm(std::max(*next, now));
    } else {
        this->timer.disarm();
    }
}

std::vector<wire::message> crash_control::initial_messages() const {
    std::vector<wire::message> messages;
    for (const quarantine::suspect_update& update :
         this->registry.initial_messages(this->params.time->now())) {
        messages.emplace_back(update);
    }
    return messages;
}

void crash_control::export_metrics(telemetry::metric_set& metrics) const {
    const quarantine::quarantine_counts counts = this->registry.counts();
    metrics.set("keeper_crash_suspects", static_cast<double>(counts.suspects));
    metrics.set("keeper_crash_quarantined", static_cast<double>(counts.quarantined));
    metrics.set("keeper_crash_targets_ended", static_cast<double>(counts.targets_ended));
    metrics.set("keeper_crash_trials", static_cast<double>(counts.trials));
}

} // namespace kingcupcart::keeper
