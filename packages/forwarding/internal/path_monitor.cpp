#include "forwarding/internal/path_monitor.h"

#include "paths/path_evidence.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace kingcupcart::forwarding {

namespace {

const char* to_string(http::listening_check::result result) {
    switch (result) {
    case http::listening_check::result::listening:
        return "open";
    case http::listening_check::result::refused:
        return "refused";
    case http::listening_check::result::unknown:
        return "no-answer";
    }
    return "?";
}

} // namespace

path_monitor::path_monitor(parameters arguments) : params(std::move(arguments)) {}

path_monitor::~path_monitor() = default;

void path_monitor::probe(const requests::probe_path& action) {
    const membership::target_record* target = this->params.fleet->targets().find(action.target);
    if (target == nullptr) {
        this->params.on_probe_ended(requests::probe_ended{action.target, false, {}});
        return;
    }
    path_probe& added = this->probes[action.target];
    added.started_at = this->params.time->now();
    added.check = std::make_unique<http::listening_check>(
        *this->params.time, target->address, action.open_timeout,
        [this, id = action.target](http::listening_check::result result) {
            this->end_probe(id, result);
        });
}

void path_monitor::end_probe(const target_id& target, http::listening_check::result result) {
    const auto ended = this->probes.extract(target);
    const duration opening = this->params.time->now() - ended.mapped().started_at;
    spdlog::info("path probed target={} result={} took_ms={}", target.value(), to_string(result),
                 opening / std::chrono::milliseconds(1));
    this->params.metrics->count(std::string("path_probes_total{result=\"") + to_string(result) +
                                "\"}");
    this->params.on_probe_ended(
        requests::probe_ended{target, result == http::listening_check::result::listening, opening});
}

void path_monitor::update(const requests::paths_changed& changed,
                          const std::vector<backend_name>& cut_off) {
    for (const paths::path_change& change : changed.changes) {
        this->log(change);
    }
    const std::size_t count_before = this->cut_off_since.size();
    const std::size_t reached = std::erase_if(this->cut_off_since, [&](const auto& entry) {
        const bool is_reached =
            std::find(cut_off.begin(), cut_off.end(), entry.first) == cut_off.end();
        if (is_reached) {
            spdlog::info("backend reached again backend={} after_ms={}", entry.first.value(),
                         (this->params.time->now() - entry.second) / std::chrono::milliseconds(1));
        }
        return is_reached;
    });
    for (const backend_name& backend : cut_off) {
        this->add_cut_off(backend);
    }
    const bool has_changed = reached > 0 || this->cut_off_since.size() != count_before - reached;
    this->params.metrics->set("backends_cut_off", static_cast<double>(this->cut_off_since.size()));
    if (has_changed && this->params.relays != nullptr) {
        this->params.fleet->send_to_all(wire::reach_report{cut_off});
    }
}

void path_monitor::log(const paths::path_change& change) {
    const auto age = change.age / std::chrono::milliseconds(1);
    if (change.is_lost) {
        spdlog::warn("path lost target={} backend={} evidence={} age_ms={}", change.target.value(),
                     change.backend.value(), paths::to_string(change.evidence), age);
        this->params.metrics->count(std::string("paths_lost_total{evidence=\"") +
                                    paths::to_string(change.evidence) + "\"}");
    } else {
        spdlog::info("path regained target={} backend={} evidence={} age_ms={}",
                     change.target.value(), change.backend.value(),
                     paths::to_string(change.evidence), age);
        this->params.metrics->count("paths_regained_total");
    }
}

void path_monitor::add_cut_off(const backend_name& backend) {
    if (!this->cut_off_since.emplace(backend, this->params.time->now()).second) {
        return;
    }
    spdlog::warn("backend cut off backend={}", backend.value());
    this->params.metrics->count("backends_cut_off_total");
    if (this->params.relays != nullptr) {
        this->params.relays->prepare(backend);
    }
}

void path_monitor::report_to(const instance_id& keeper) {
    if (this->params.relays == nullptr) {
        return;
    }
    wire::reach_report report;
    for (const auto& [backend, since] : this->cut_off_since) {
        report.cut_off.push_back(backend);
    }
    this->params.fleet->send(keeper, report);
}

} // namespace kingcupcart::forwarding
