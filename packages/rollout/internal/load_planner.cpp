#include "rollout/load_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupcart::rollout {

planner_actions load_planner::handle(const planner_message& incoming, time_point moment) {
    this->now = moment;
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
    if (this->may_order) {
        this->plan();
    }
    return std::exchange(this->output, {});
}

std::optional<time_point> load_planner::next_wakeup() const {
    if (!this->may_order) {
        return std::nullopt;
    }
    std::optional<time_point> next;
    for (const auto& [id, plan] : this->engines) {
        const bool is_waiting = plan.at == step::loading || this->is_behind(plan);
        if (is_waiting && plan.due > this->now && (!next || plan.due < *next)) {
            next = plan.due;
        }
    }
    return next;
}

void load_planner::on(const services_changed& changed) {
    this->services = changed.services;
    this->assign();
}

void load_planner::on(const version_named& version) {
    weight_version& newest = this->named[version.model];
    newest = std::max(newest, version.version);
}

void load_planner::on(const version_needed& wanted) {
    weight_version& oldest = this->needed[wanted.model];
    oldest = std::max(oldest, wanted.oldest);
}

void load_planner::on(const engine_seen& seen) {
    auto [place, is_new] = this->engines.try_emplace(seen.state.engine);
    engine_plan& plan = place->second;
    if (seen.is_restarted) {
        plan = engine_plan{};
    }
    const bool changes_place = is_new || plan.known.service != seen.state.service;
    const auto versions = std::exchange(plan.known.versions, {});
    plan.known = seen.state;
    for (const auto& [model, version] : versions) {
        this->take_version(plan, model, version);
    }
    if (changes_place || seen.is_restarted) {
        this->assign();
    }
    if (plan.at == step::loading && !this->is_behind(plan)) {
        this->end_load(plan);
    }
}

void load_planner::on(const engine_lost& lost) {
    if (this->engines.erase(lost.engine) > 0) {
        this->assign();
    }
}

void load_planner::on(const authority_changed& changed) {
    this->may_order = changed.may_order;
    for (auto& [id, plan] : this->engines) {
        // What an earlier holder ordered is not known here.
        plan.at = step::idle;
        plan.needs_report = true;
        plan.due = time_point{};
        this->set_loading(plan, false);
    }
}

void load_planner::on(const order_answered& answered) {
    const auto found = this->engines.find(answered.engine);
    if (found == this->engines.end() || found->second.at != step::ordered) {
        return;
    }
    engine_plan& plan = found->second;
    plan.at = step::idle;
    plan.due = this->now + this->limits.retry_interval;
    switch (answered.answer) {
    case order_answer::accepted:
        ++plan.orders_accepted;
        plan.at = step::loading;
        plan.due = this->now + this->limits.load_time;
        return;
    case order_answer::holds:
        this->take_version(plan, plan.wanted.model, plan.wanted.version);
        break;
    case order_answer::conflict:
    case order_answer::unknown:
        plan.needs_report = true;
        break;
    case order_answer::wrong_engine:
    case order_answer::refused:
        break;
    }
    this->set_loading(plan, false);
}

void load_planner::on(const engine_reported& reported) {
    const auto found = this->engines.find(reported.engine);
    if (found == this->engines.end()) {
        return;
    }
    engine_plan& plan = found->second;
    plan.needs_report = false;
    plan.orders_accepted = reported.orders_accepted;
    for (const version_named& one : reported.versions) {
        this->take_version(plan, one.model, one.version);
    }
    if (reported.is_busy) {
        plan.at = step::loading;
        plan.due = this->now + this->limits.report_interval;
        this->set_loading(plan, true);
        return;
    }
    if (plan.is_loading && this->is_behind(plan)) {
        // The report shows the state of a moment ago: the load may just have ended.
        plan.due = this->now + this->limits.report_interval;
        plan.needs_report = true;
    }
    this->end_load(plan);
}

void load_planner::on(const report_failed& failed) {
    const auto found = this->engines.find(failed.engine);
    if (found == this->engines.end() || found->second.at != step::asked) {
        return;
    }
    engine_plan& plan = found->second;
    plan.at = step::idle;
    plan.needs_report = true;
    plan.due = this->now + this->limits.retry_interval;
    this->set_loading(plan, false);
}

void load_planner::on(const timer_expired& /*passed*/) {}

void load_planner::assign() {
    for (const service_models& service : this->services) {
        std::vector<engine_plan*> members;
        for (auto& [id, plan] : this->engines) {
            if (plan.known.service == service.service) {
                members.push_back(&plan);
            }
        }
        if (service.models.empty()) {
            continue;
        }
        std::map<model_name, std::size_t> counts;
        std::vector<engine_plan*> unassigned;
        const std::size_t share =
            (members.size() + service.models.size() - 1) / service.models.size();
        for (engine_plan* one : members) {
            const bool is_known = std::find(service.models.begin(), service.models.end(),
                                            one->serves) != service.models.end();
            if (is_known && counts[one->serves] < share) {
                ++counts[one->serves];
            } else {
                unassigned.push_back(one);
            }
        }
        for (engine_plan* one : unassigned) {
            one->serves = *std::min_element(
                service.models.begin(), service.models.end(),
                [&](const model_name& a, const model_name& b) { return counts[a] < counts[b]; });
            ++counts[one->serves];
        }
        std::map<model_name, std::size_t> places;
        for (engine_plan* one : members) {
            one->loads_even = places[one->serves]++ % 2 == 0;
        }
    }
}

weight_version load_planner::version_of(const engine_plan& plan) {
    const auto found = plan.known.versions.find(plan.serves);
    return found == plan.known.versions.end() ? weight_version() : found->second;
}

bool load_planner::is_behind(const engine_plan& plan) const {
    const auto newest = this->named.find(plan.serves);
    const weight_version has = version_of(plan);
    if (newest == this->named.end() || plan.known.is_leaving || has >= newest->second) {
        return false;
    }
    const auto oldest = this->needed.find(plan.serves);
    if (oldest != this->needed.end() && has < oldest->second) {
        return true;
    }
    const service_models* service = this->find_service(plan.known.service);
    if (service == nullptr || service->models.size() < 2) {
        return true;
    }
    const std::uint64_t missed = newest->second.value() - has.value();
    const bool is_its_turn = (newest->second.value() % 2 == 0) == plan.loads_even;
    return missed > 1 || is_its_turn;
}

void load_planner::plan() {
    std::map<backend_name, std::size_t> loading;
    for (const auto& [id, plan] : this->engines) {
        loading[plan.known.service] += plan.is_loading ? 1 : 0;
    }
    std::vector<engine_plan*> behind;
    for (auto& [id, plan] : this->engines) {
        if (plan.due > this->now) {
            continue;
        }
        if (plan.at == step::loading) {
            this->ask(plan);
        } else if (plan.at == step::idle && this->is_behind(plan)) {
            behind.push_back(&plan);
        }
    }
    // The furthest behind first: they can serve least.
    std::stable_sort(behind.begin(), behind.end(),
                     [](const auto* a, const auto* b) { return version_of(*a) < version_of(*b); });
    for (engine_plan* one : behind) {
        const service_models* service = this->find_service(one->known.service);
        if (service == nullptr) {
            continue;
        }
        if (one->needs_report) {
            this->ask(*one);
            continue;
        }
        if (loading[service->service] >= this->limit_of(service->service)) {
            continue;
        }
        ++loading[service->service];
        one->at = step::ordered;
        one->wanted = {one->serves, this->named.at(one->serves)};
        this->set_loading(*one, true);
        this->output.push_back(send_load{one->known.engine, one->wanted.model, one->wanted.version,
                                         service->mode, one->orders_accepted});
    }
}

void load_planner::ask(engine_plan& plan) {
    plan.at = step::asked;
    this->output.push_back(ask_report{plan.known.engine});
}

void load_planner::take_version(engine_plan& plan, const model_name& model,
                                weight_version version) {
    weight_version& known = plan.known.versions[model];
    if (version > known) {
        known = version;
        this->output.push_back(weights_loaded{plan.known.engine, model, version});
    }
}

void load_planner::end_load(engine_plan& plan) {
    plan.at = step::idle;
    this->set_loading(plan, false);
}

void load_planner::set_loading(engine_plan& plan, bool is_loading) {
    if (std::exchange(plan.is_loading, is_loading) != is_loading) {
        this->output.push_back(loading_changed{plan.known.engine, is_loading});
    }
}

std::size_t load_planner::limit_of(const backend_name& service) const {
    const auto count =
        std::count_if(this->engines.begin(), this->engines.end(), [&](const auto& item) {
            return item.second.known.service == service && !item.second.known.is_leaving;
        });
    const auto limit = std::lround(static_cast<double>(count) * this->limits.parallel_share);
    return static_cast<std::size_t>(std::max(1L, limit));
}

const service_models* load_planner::find_service(const backend_name& name) const {
    const auto found = std::find_if(this->services.begin(), this->services.end(),
                                    [&](const service_models& one) { return one.service == name; });
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace kingcupcart::rollout
