#include "keeper/internal/limit_control.h"

#include "wire/limit_report.h"

#include <spdlog/spdlog.h>

#include <map>
#include <utility>

namespace kingcupcart::keeper {

limit_control::limit_control(parameters arguments)
    : params(std::move(arguments)),
      issuer(this->table, {}),
      issue_timer([this] { this->issue(); }) {}

void limit_control::record(const target_id& target, incarnation_id incarnation,
                           const permits::limit_statement& statement, time_point sent_at) {
    if (const auto stated = this->table.read(target, incarnation, statement, sent_at)) {
        this->apply(*stated, "response");
    }
}

void limit_control::handle(const instance_id& from, const wire::limit_report& report) {
    this->apply(wire::parse_limit_report(report, this->params.time->now()), from.value());
}

void limit_control::apply(const permits::target_limit& limit, const std::string& source) {
    const permits::limit_change change = this->table.apply(limit);
    if (change == permits::limit_change::none) {
        return;
    }
    const time_point now = this->params.time->now();
    spdlog::info("target limit {} target={} incarnation={} rate={} source={} age_ms={}",
                 permits::to_string(change), limit.target.value(), limit.incarnation.value(),
                 limit.rate ? limit.rate->count() : 0, source,
                 (now - limit.stated_at) / std::chrono::milliseconds(1));
    const wire::limit_report report = wire::make_limit_report(limit, now);
    const bool is_own = source == "response";
    if (is_own) {
        this->params.send_to_keepers(report);
    }
    if (is_own || this->params.is_leading()) {
        this->params.send_to_gateways_and_stores(report);
    }
}

void limit_control::handle(const instance_id& from, const wire::permit_demands& demands) {
    this->issuer.set_authority(this->params.is_leading());
    this->issuer.set_sender_count(this->params.count_senders());
    const time_point now = this->params.time->now();
    std::vector<permits::addressed_grant> grants;
    for (const permits::permit_demand& demand : demands.demands) {
        const auto answers = this->issuer.handle(from, demand, now);
        grants.insert(grants.end(), answers.begin(), answers.end());
    }
    this->send(grants);
}

void limit_control::issue() {
    this->issuer.set_authority(this->params.is_leading());
    this->send(this->issuer.issue(this->params.time->now()));
}

void limit_control::send(const std::vector<permits::addressed_grant>& grants) {
    std::map<instance_id, wire::permit_grants> messages;
    for (const permits::addressed_grant& addressed : grants) {
        messages[addressed.sender].grants.push_back(addressed.grant);
    }
    for (const auto& [sender, message] : messages) {
        this->params.send_to_instance(sender, message);
    }
    if (const auto next = this->issuer.next_wakeup()) {
        this->issue_timer.arm(*next);
    }
}

void limit_control::count_call(const target_id& target) {
    this->issuer.charge(target, this->params.time->now());
}

void limit_control::target_changed(const target_id& target, incarnation_id incarnation) {
    this->table.set_incarnation(target, incarnation);
}

void limit_control::target_removed(const target_id& target) {
    this->table.remove(target);
}

void limit_control::instance_disconnected(const instance_id& instance) {
    this->issuer.remove_sender(instance);
}

void limit_control::leadership_changed(bool is_leader) {
    if (!is_leader) {
        this->issuer.set_authority(false);
        return;
    }
    for (const wire::message& report : this->initial_messages()) {
        this->params.send_to_gateways_and_stores(report);
    }
}

std::vector<wire::message> limit_control::initial_messages() const {
    std::vector<wire::message> messages;
    for (const permits::target_limit& limit : this->table.limits()) {
        messages.emplace_back(wire::make_limit_report(limit, this->params.time->now()));
    }
    return messages;
}

} // namespace kingcupcart::keeper
