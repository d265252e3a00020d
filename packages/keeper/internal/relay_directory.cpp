#include "keeper/internal/relay_directory.h"

#include <spdlog/spdlog.h>

#include <set>
#include <string>
#include <utility>

namespace kingcupcart::keeper {

namespace {

std::string join(const std::set<backend_name>& backends) {
    std::string joined;
    for (const backend_name& backend : backends) {
        joined += (joined.empty() ? "" : ",") + backend.value();
    }
    return joined.empty() ? "none" : joined;
}

} // namespace

relay_directory::relay_directory(parameters arguments)
    : params(std::move(arguments)), table(this->params.seed) {}

void relay_directory::connected(std::uint64_t link, const wire::hello& hello) {
    const auto known = this->gateways.find(hello.instance);
    const bool is_outdated =
        known != this->gateways.end() &&
        (hello.incarnation < known->second.incarnation || link < known->second.link);
    if (hello.role != wire::instance_role::gateway || is_outdated) {
        return;
    }
    this->gateways[hello.instance] = {
        link, hello.incarnation, {hello.instance, hello.address, hello.place}};
    if (hello.address.address.empty()) {
        this->table.remove(hello.instance);
    } else {
        // The gateway reports over each link that it opens.
        this->table.add({hello.instance, hello.place});
    }
}

void relay_directory::disconnected(std::uint64_t link, const instance_id& instance) {
    const auto known = this->gateways.find(instance);
    if (known != this->gateways.end() && known->second.link == link) {
        this->table.remove(instance);
        this->gateways.erase(known);
    }
}

bool relay_directory::handle(std::uint64_t link, const wire::hello& from,
                             const wire::message& message) {
    if (const auto* report = std::get_if<wire::reach_report>(&message)) {
        this->handle(link, from.instance, *report);
        return true;
    }
    if (const auto* request = std::get_if<wire::relay_lookup_request>(&message)) {
        this->handle(from, *request);
        return true;
    }
    return false;
}

void relay_directory::handle(std::uint64_t link, const instance_id& from,
                             const wire::reach_report& report) {
    const auto known = this->gateways.find(from);
    if (known == this->gateways.end() || known->second.link != link) {
        spdlog::info("outdated reach report ignored gateway={}", from.value());
        return;
    }
    std::set<backend_name> backends(report.cut_off.begin(), report.cut_off.end());
    const std::string names = join(backends);
    if (this->table.set_cut_off(from, std::move(backends))) {
        spdlog::info("reach of gateway changed gateway={} cut_off={} cut_off_gateways={} known={}",
                     from.value(), names, this->table.cut_off_count(), this->table.size());
    }
}

void relay_directory::handle(const wire::hello& from, const wire::relay_lookup_request& request) {
    wire::relay_lookup_response response{request.lookup, {}};
    for (const instance_id& id : this->table.draw({from.instance, from.place}, request.backend)) {
        response.candidates.push_back(this->gateways.at(id).candidate);
    }
    ++this->lookups;
    this->lookups_without_relay += response.candidates.empty() ? 1 : 0;
    spdlog::info("relays looked up by={} backend={} count={} cut_off_gateways={} known={}",
                 from.instance.value(), request.backend.value(), response.candidates.size(),
                 this->table.cut_off_count(), this->table.size());
    this->params.send_to_instance(from.instance, response);
}

void relay_directory::export_metrics(telemetry::metric_set& metrics) const {
    const auto set = [&](const char* name, std::uint64_t value) {
        metrics.set(name, static_cast<double>(value));
    };
    set("keeper_relays", this->table.size());
    set("keeper_gateways_cut_off", this->table.cut_off_count());
    set("keeper_relay_lookups", this->lookups);
    set("keeper_relay_lookups_without_relay", this->lookups_without_relay);
}

} // namespace kingcupcart::keeper
