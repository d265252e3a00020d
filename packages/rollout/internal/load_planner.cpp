#include "rollout/load_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupcart::rollout {

planner_actions load_planner::handle(const planner_message& incoming, time_point current_time) {
    this->now = current_time;
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
    if (this->may_send_orders) {
        this->rebalance_models();
        this->plan_due_steps();
    }
    return std::exchange(this->output, {});
}

std::optional<time_point> load_planner::next_wakeup() const {
    if (!this->may_send_orders) {
        return std::nullopt;
    }
    std::optional<time_point> next;
    for (const auto& [id, plan] : this->engines) {
        const bool is_waiting = plan.current_step == load_step::loading || this->is_behind(plan);
        if (is_waiting && plan.next_step_at > this->now && (!next || plan.next_step_at < *next)) {
            next = plan.next_step_at;
        }
    }
    return next;
}

void load_planner::on(const services_changed& changed) {
    this->services = changed.services;
    this->assign_models();
}

void load_planner::on(const model_version& version) {
    weight_version& newest = this->newest_versions[version.model];
    newest = std::max(newest, version.version);
}

void load_planner::on(const required_version& required) {
    weight_version& oldest = this->required_versions[required.model];
    oldest = std::max(oldest, required.oldest);
}

void load_planner::on(const demand_changed& changed) {
    for (const model_demand& reported : changed.models) {
        if (reported.work.count() > 0) {
            this->demand[reported.service][reported.model] = reported;
        }
    }
}

void load_planner::on(const engine_updated& updated) {
    auto [position, is_new] = this->engines.try_emplace(updated.state.engine);
    engine_plan& plan = position->second;
    if (updated.is_restarted) {
        plan = engine_plan{};
    }
    const bool changes_service = is_new || plan.weights.service != updated.state.service;
    const auto versions = std::exchange(plan.weights.versions, {});
    plan.weights = updated.state;
    for (const auto& [model, version] : versions) {
        this->record_version(plan, model, version);
    }
    if (changes_service || updated.is_restarted) {
        this->assign_models();
    }
    if (plan.current_step == load_step::loading && !this->is_behind(plan)) {
        this->end_load(plan);
    }
}

void load_planner::on(const engine_removed& removed) {
    if (this->engines.erase(removed.engine) > 0) {
        this->assign_models();
    }
}

void load_planner::on(const authority_changed& changed) {
    this->may_send_orders = changed.may_send_orders;
    this->imbalanced_since.clear();
    if (changed.may_send_orders) {
        this->adopt_assignments();
    }
    for (auto& [id, plan] : this->engines) {
        // The load orders that the previous leader sent are unknown to this instance.
        plan.current_step = load_step::idle;
        plan.needs_report = true;
        plan.next_step_at = time_point{};
        this->set_loading(plan, false);
    }
}

void load_planner::on(const load_order_response& response) {
    const auto found = this->engines.find(response.engine);
    if (found == this->engines.end() || found->second.current_step != load_step::ordered) {
        return;
    }
    engine_plan& plan = found->second;
    plan.current_step = load_step::idle;
    plan.next_step_at = this->now + this->limits.retry_interval;
    switch (response.result) {
    case load_order_result::accepted:
        ++plan.orders_accepted;
        plan.current_step = load_step::loading;
        plan.next_step_at = this->now + this->limits.expected_load_time;
        return;
    case load_order_result::holds:
        this->record_version(plan, plan.ordered_version.model, plan.ordered_version.version);
        break;
    case load_order_result::conflict:
    case load_order_result::unknown:
        plan.needs_report = true;
        break;
    case load_order_result::wrong_engine:
    case load_order_result::refused:
        break;
    }
    this->set_loading(plan, false);
}

void load_planner::on(const engine_report& report) {
    const auto found = this->engines.find(report.engine);
    if (found == this->engines.end()) {
        return;
    }
    engine_plan& plan = found->second;
    plan.needs_report = false;
    plan.orders_accepted = report.orders_accepted;
    for (const model_version& reported_version : report.versions) {
        this->record_version(plan, reported_version.model, reported_version.version);
    }
    if (report.is_busy) {
        plan.current_step = load_step::loading;
        plan.next_step_at = this->now + this->limits.report_interval;
        this->set_loading(plan, true);
        return;
    }
    if (plan.is_loading && this->is_behind(plan)) {
        // The report may be outdated by the time it arrives: the load may have ended since.
        plan.next_step_at = this->now + this->limits.report_interval;
        plan.needs_report = true;
    }
    this->end_load(plan);
}

void load_planner::on(const report_failed& failed) {
    const auto found = this->engines.find(failed.engine);
    if (found == this->engines.end() || found->second.current_step != load_step::report_requested) {
        return;
    }
    engine_plan& plan = found->second;
    plan.current_step = load_step::idle;
    plan.needs_report = true;
    plan.next_step_at = this->now + this->limits.retry_interval;
    this->set_loading(plan, false);
}

void load_planner::on(const timer_expired& /*expired*/) {}

void load_planner::assign_models() {
    for (const service_models& service : this->services) {
        if (!service.models.empty()) {
            this->assign_models(service);
            this->balance_version_halves(service);
        }
    }
}

void load_planner::assign_models(const service_models& service) {
    const model_counts wanted = this->wanted_counts(service);
    const bool is_demand_known = this->is_demand_known(service);
    const std::size_t members = this->member_count(service.service);
    const std::size_t max_equal_share =
        (members + service.models.size() - 1) / service.models.size();
    model_counts counts;
    std::vector<engine_plan*> unassigned;
    for (auto& [id, plan] : this->engines) {
        if (plan.weights.service != service.service) {
            continue;
        }
        const bool keeps_model = wanted.contains(plan.assigned_model) &&
                                 (is_demand_known || counts[plan.assigned_model] < max_equal_share);
        if (keeps_model) {
            ++counts[plan.assigned_model];
        } else {
            unassigned.push_back(&plan);
        }
    }
    for (engine_plan* member : unassigned) {
        member->assigned_model = model_that_lacks_most(service, wanted, counts);
        member->loads_even_versions.reset();
        ++counts[member->assigned_model];
    }
    // A model whose last engines were lost doesn't wait for `min_imbalance_time`.
    while (is_demand_known && counts[model_that_lacks_most(service, wanted, counts)] == 0 &&
           this->reassign_one(service, wanted, counts)) {
    }
}

const model_name& load_planner::model_that_lacks_most(const service_models& service,
                                                      const model_counts& wanted,
                                                      model_counts& counts) {
    const auto lack = [&](const model_name& model) {
        return static_cast<double>(counts[model]) /
               static_cast<double>(std::max<std::size_t>(1, wanted.at(model)));
    };
    return *std::min_element(
        service.models.begin(), service.models.end(),
        [&](const model_name& a, const model_name& b) { return lack(a) < lack(b); });
}

std::size_t load_planner::member_count(const backend_name& service) const {
    const auto count =
        std::count_if(this->engines.begin(), this->engines.end(),
                      [&](const auto& entry) { return entry.second.weights.service == service; });
    return static_cast<std::size_t>(count);
}

bool load_planner::is_demand_known(const service_models& service) const {
    const auto known = this->demand.find(service.service);
    return known != this->demand.end() &&
           std::all_of(service.models.begin(), service.models.end(),
                       [&](const model_name& model) { return known->second.contains(model); });
}

model_counts load_planner::wanted_counts(const service_models& service) const {
    const std::size_t members = this->member_count(service.service);
    if (this->is_demand_known(service)) {
        return divide_engines(members, service.models,
                              weights_of(this->demand.at(service.service)));
    }
    std::map<model_name, double> equal;
    for (const model_name& model : service.models) {
        equal[model] = 1;
    }
    return divide_engines(members, service.models, equal);
}

model_counts load_planner::assigned_counts(const service_models& service) const {
    model_counts counts;
    for (const model_name& model : service.models) {
        counts[model] = 0;
    }
    for (const auto& [id, plan] : this->engines) {
        if (plan.weights.service == service.service) {
            ++counts[plan.assigned_model];
        }
    }
    return counts;
}

void load_planner::rebalance_models() {
    for (const service_models& service : this->services) {
        if (service.models.size() > 1 && this->is_demand_known(service)) {
            this->rebalance_models(service);
        }
    }
}

void load_planner::rebalance_models(const service_models& service) {
    const model_counts wanted = this->wanted_counts(service);
    model_counts counts = this->assigned_counts(service);
    const bool is_imbalanced =
        std::any_of(service.models.begin(), service.models.end(), [&](const model_name& model) {
            const std::size_t least = std::min(counts.at(model), wanted.at(model));
            const std::size_t most = std::max(counts.at(model), wanted.at(model));
            return most - least >= this->limits.min_imbalance;
        });
    if (!is_imbalanced) {
        this->imbalanced_since.erase(service.service);
        return;
    }
    const time_point since =
        this->imbalanced_since.try_emplace(service.service, this->now).first->second;
    if (this->now - since < this->limits.min_imbalance_time) {
        return;
    }
    this->imbalanced_since.erase(service.service);
    while (this->reassign_one(service, wanted, counts)) {
    }
    this->balance_version_halves(service);
}

bool load_planner::reassign_one(const service_models& service, const model_counts& wanted,
                                model_counts& counts) {
    const model_name to = model_that_lacks_most(service, wanted, counts);
    if (counts[to] >= wanted.at(to)) {
        return false;
    }
    engine_plan* chosen = nullptr;
    for (auto& [id, plan] : this->engines) {
        const bool is_surplus = plan.weights.service == service.service &&
                                plan.current_step == load_step::idle && !plan.weights.is_leaving &&
                                counts[plan.assigned_model] > wanted.at(plan.assigned_model);
        // The engine with the oldest weights has to load next anyway.
        if (is_surplus &&
            (chosen == nullptr || this->versions_behind(plan) > this->versions_behind(*chosen))) {
            chosen = &plan;
        }
    }
    if (chosen == nullptr) {
        return false;
    }
    const model_name from = std::exchange(chosen->assigned_model, to);
    chosen->loads_even_versions.reset();
    --counts[from];
    ++counts[to];
    this->output.push_back(engine_reassigned{chosen->weights.engine, service.service, from, to,
                                             counts[from], wanted.at(from), counts[to],
                                             wanted.at(to)});
    return true;
}

void load_planner::adopt_assignments() {
    for (auto& [id, plan] : this->engines) {
        const service_models* service = this->find_service(plan.weights.service);
        if (service == nullptr) {
            continue;
        }
        const model_name previous = plan.assigned_model;
        for (const model_name& model : service->models) {
            engine_plan candidate = plan;
            candidate.assigned_model = model;
            if (plan.weights.versions.contains(model) &&
                this->versions_behind(candidate) < this->versions_behind(plan)) {
                plan.assigned_model = model;
            }
        }
        if (plan.assigned_model != previous) {
            plan.loads_even_versions.reset();
        }
    }
    this->assign_models();
}

std::uint64_t load_planner::versions_behind(const engine_plan& plan) const {
    const auto newest = this->newest_versions.find(plan.assigned_model);
    const std::uint64_t loaded = loaded_version_of(plan).value();
    return newest == this->newest_versions.end() || newest->second.value() < loaded
               ? 0
               : newest->second.value() - loaded;
}

void load_planner::balance_version_halves(const service_models& service) {
    for (const model_name& model : service.models) {
        std::vector<engine_plan*> even;
        std::vector<engine_plan*> odd;
        std::vector<engine_plan*> undecided;
        for (auto& [id, plan] : this->engines) {
            if (plan.weights.service != service.service || plan.assigned_model != model) {
                continue;
            }
            if (!plan.loads_even_versions) {
                undecided.push_back(&plan);
            } else {
                (*plan.loads_even_versions ? even : odd).push_back(&plan);
            }
        }
        for (engine_plan* member : undecided) {
            member->loads_even_versions = even.size() <= odd.size();
            (*member->loads_even_versions ? even : odd).push_back(member);
        }
        while (even.size() > odd.size() + 1 || odd.size() > even.size() + 1) {
            auto& larger = even.size() > odd.size() ? even : odd;
            auto& smaller = even.size() > odd.size() ? odd : even;
            larger.back()->loads_even_versions = !*larger.back()->loads_even_versions;
            smaller.push_back(larger.back());
            larger.pop_back();
        }
    }
}

weight_version load_planner::loaded_version_of(const engine_plan& plan) {
    const auto found = plan.weights.versions.find(plan.assigned_model);
    return found == plan.weights.versions.end() ? weight_version() : found->second;
}

bool load_planner::is_behind(const engine_plan& plan) const {
    const auto newest = this->newest_versions.find(plan.assigned_model);
    const weight_version loaded = loaded_version_of(plan);
    if (newest == this->newest_versions.end() || plan.weights.is_leaving ||
        loaded >= newest->second) {
        return false;
    }
    const auto oldest = this->required_versions.find(plan.assigned_model);
    if (oldest != this->required_versions.end() && loaded < oldest->second) {
        return true;
    }
    const service_models* service = this->find_service(plan.weights.service);
    if (service == nullptr || service->models.size() < 2) {
        return true;
    }
    const std::uint64_t versions_behind = newest->second.value() - loaded.value();
    const bool loads_this_version =
        (newest->second.value() % 2 == 0) == plan.loads_even_versions.value_or(false);
    return versions_behind > 1 || loads_this_version;
}

void load_planner::plan_due_steps() {
    std::map<backend_name, std::size_t> loading;
    for (const auto& [id, plan] : this->engines) {
        loading[plan.weights.service] += plan.is_loading ? 1 : 0;
    }
    std::vector<engine_plan*> behind;
    for (auto& [id, plan] : this->engines) {
        if (plan.next_step_at > this->now) {
            continue;
        }
        if (plan.current_step == load_step::loading) {
            this->send_report_request(plan);
        } else if (plan.current_step == load_step::idle && this->is_behind(plan)) {
            behind.push_back(&plan);
        }
    }
    // Engines with the oldest weights load first, since they can serve the fewest jobs. Version
    // numbers of different models aren't comparable: a fast trainer's are higher.
    std::stable_sort(behind.begin(), behind.end(), [this](const auto* a, const auto* b) {
        return this->versions_behind(*a) > this->versions_behind(*b);
    });
    for (engine_plan* member : behind) {
        const service_models* service = this->find_service(member->weights.service);
        if (service == nullptr) {
            continue;
        }
        if (member->needs_report) {
            this->send_report_request(*member);
            continue;
        }
        if (loading[service->service] >= this->max_parallel_loads(service->service)) {
            continue;
        }
        ++loading[service->service];
        member->current_step = load_step::ordered;
        member->ordered_version = {member->assigned_model,
                                   this->newest_versions.at(member->assigned_model)};
        this->set_loading(*member, true);
        this->output.push_back(send_load_order{
            member->weights.engine, member->ordered_version.model, member->ordered_version.version,
            service->mode, member->orders_accepted});
    }
}

void load_planner::send_report_request(engine_plan& plan) {
    plan.current_step = load_step::report_requested;
    this->output.push_back(request_report{plan.weights.engine});
}

void load_planner::record_version(engine_plan& plan, const model_name& model,
                                  weight_version version) {
    weight_version& loaded_version = plan.weights.versions[model];
    if (version > loaded_version) {
        loaded_version = version;
        this->output.push_back(weights_loaded{plan.weights.engine, model, version});
    }
}

void load_planner::end_load(engine_plan& plan) {
    plan.current_step = load_step::idle;
    this->set_loading(plan, false);
}

void load_planner::set_loading(engine_plan& plan, bool is_loading) {
    if (std::exchange(plan.is_loading, is_loading) != is_loading) {
        this->output.push_back(loading_changed{plan.weights.engine, is_loading});
    }
}

std::size_t load_planner::max_parallel_loads(const backend_name& service) const {
    const auto count =
        std::count_if(this->engines.begin(), this->engines.end(), [&](const auto& entry) {
            return entry.second.weights.service == service && !entry.second.weights.is_leaving;
        });
    const auto limit = std::lround(static_cast<double>(count) * this->limits.max_loading_share);
    return static_cast<std::size_t>(std::max(1L, limit));
}

const service_models* load_planner::find_service(const backend_name& name) const {
    const auto found =
        std::find_if(this->services.begin(), this->services.end(),
                     [&](const service_models& candidate) { return candidate.service == name; });
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace kingcupcart::rollout
