#include "replicated/replicated_state.h"

#include <algorithm>

namespace kingcupcart::replicated {

result replicated_state::apply(const command& committed) {
    return std::visit([this](const auto& alternative) { return this->on(alternative); }, committed);
}

result replicated_state::on(const accept_configuration& order) {
    this->expire_before(order.at - retention);
    const auto known = this->orders.find(order.order_id);
    if (known != this->orders.end()) {
        return known->second;
    }
    configuration_result outcome;
    outcome.is_accepted = order.base == this->accepted_version;
    if (outcome.is_accepted) {
        this->accepted_version = configuration_version(this->accepted_version.value() + 1);
        this->accepted_text = order.text;
    }
    outcome.version = this->accepted_version;
    this->orders.emplace(order.order_id, outcome);
    this->orders_by_age.push_back({order.order_id, outcome, order.at});
    return outcome;
}

result replicated_state::on(const claim_key& claim) {
    this->expire_before(claim.at - retention);
    const auto known = this->claims.find(claim.key);
    if (known != this->claims.end()) {
        return known->second;
    }
    const claim_result owner{claim.owner, claim.incarnation};
    this->claims.emplace(claim.key, owner);
    this->claims_by_age.push_back({claim.key, owner, claim.at});
    return owner;
}

result replicated_state::on(const accept_routes& routes) {
    if (routes.version > this->newest_routes_version) {
        this->newest_routes_version = routes.version;
        this->newest_routes_document = routes.document;
    }
    return routes_result{this->newest_routes_version};
}

result replicated_state::on(const publish_weights& weights) {
    weight_version& newest = this->newest_weights[weights.model];
    newest = std::max(newest, weights.version);
    return done{};
}

result replicated_state::on(const bootstrap_stores& bootstrap) {
    if (this->initial_members.empty()) {
        this->initial_members = bootstrap.initial_members;
    }
    return done{};
}

result replicated_state::on(const retire_store& retirement) {
    this->leaving.insert(retirement.store);
    return done{};
}

result replicated_state::on(const read_barrier& /*barrier*/) {
    return done{};
}

result replicated_state::on(const commit_usage& usage) {
    usage_content& state = this->committed_usage;
    if (usage.window > state.last_window) {
        state.last_window = usage.window;
        state.windows.push_back({usage.window, usage.counts});
    }
    state.reported_through = std::max(state.reported_through, usage.reported_through);
    std::erase_if(state.windows, [&](const usage_window& stored) {
        return stored.window <= state.reported_through;
    });
    if (state.windows.size() > max_usage_windows) {
        state.windows.erase(state.windows.begin());
    }
    return done{};
}

void replicated_state::expire_before(wall_seconds oldest) {
    while (!this->orders_by_age.empty() && this->orders_by_age.front().at < oldest) {
        this->orders.erase(this->orders_by_age.front().order_id);
        this->orders_by_age.pop_front();
    }
    while (!this->claims_by_age.empty() && this->claims_by_age.front().at < oldest) {
        this->claims.erase(this->claims_by_age.front().key);
        this->claims_by_age.pop_front();
    }
}

replicated_state::content replicated_state::save() const {
    content saved;
    saved.version = this->accepted_version;
    saved.text = this->accepted_text;
    saved.orders.assign(this->orders_by_age.begin(), this->orders_by_age.end());
    saved.claims.assign(this->claims_by_age.begin(), this->claims_by_age.end());
    saved.routes_version = this->newest_routes_version;
    saved.routes_document = this->newest_routes_document;
    for (const auto& [model, version] : this->newest_weights) {
        saved.weights.push_back({model, version});
    }
    saved.initial_stores = this->initial_members;
    saved.leaving_stores.assign(this->leaving.begin(), this->leaving.end());
    saved.usage = this->committed_usage;
    return saved;
}

void replicated_state::load(const content& saved) {
    *this = replicated_state();
    this->accepted_version = saved.version;
    this->accepted_text = saved.text;
    for (const order_record& record : saved.orders) {
        this->orders.emplace(record.order_id, record.outcome);
        this->orders_by_age.push_back(record);
    }
    for (const claim_record& record : saved.claims) {
        this->claims.emplace(record.key, record.owner);
        this->claims_by_age.push_back(record);
    }
    this->newest_routes_version = saved.routes_version;
    this->newest_routes_document = saved.routes_document;
    for (const publish_weights& entry : saved.weights) {
        this->newest_weights.insert_or_assign(entry.model, entry.version);
    }
    this->initial_members = saved.initial_stores;
    this->leaving.insert(saved.leaving_stores.begin(), saved.leaving_stores.end());
    this->committed_usage = saved.usage;
}

} // namespace kingcupcart::replicated
