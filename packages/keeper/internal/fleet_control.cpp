#include "keeper/internal/fleet_control.h"

#include "base/stable_hash.h"
#include "base/suspended_time.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace kingcupcart::keeper {

namespace {

/// Keepers of earlier revisions can't read the command that commits the counts of a window.
constexpr std::uint16_t usage_revision = 1;
constexpr duration maintenance_interval = std::chrono::milliseconds(500);

} // namespace

fleet_control::fleet_control(parameters arguments)
    : params(std::move(arguments)),
      targets(this->make_target_parameters()),
      stores(this->params.settings.tolerated_losses),
      limits(this->make_limit_parameters()),
      crashes(this->make_crash_parameters()),
      streams({this->params.time, this->params.send_to_instance}),
      relays({this->params.send_to_instance, stable_hash(this->params.instance.value())}),
      orders(this->make_order_parameters(),
             {[this](const target_id& target, incarnation_id incarnation) {
                  this->targets.mark_leaving(target, incarnation);
              },
              [this](const target_id& target) { this->limits.count_call(target); },
              [this](const target_id& target, incarnation_id incarnation,
                     const permits::limit_statement& statement, time_point sent_at) {
                  this->limits.record(target, incarnation, statement, sent_at);
              },
              [this](const target_id& target, const model_name& model, weight_version version) {
                  this->targets.change_record(target, [&](membership::target_record& record) {
                      membership::merge_weights(record.weights, {model, version});
                  });
              },
              [this](const target_id& target, bool is_loading) {
                  this->targets.change_record(target, [&](membership::target_record& record) {
                      record.loading = is_loading;
                  });
              }}),
      lease({this->params.settings.order_lease}),
      maintenance_timer([this] { this->run_maintenance(); }) {
    this->open_duties();
    this->maintenance_timer.arm_now();
}

fleet_control::~fleet_control() = default;

target_control::parameters fleet_control::make_target_parameters() {
    target_control::parameters arguments;
    arguments.time = this->params.time;
    arguments.lease = this->params.settings.target_lease;
    arguments.has_contact_with_group = [this] { return this->has_contact_with_group(); };
    arguments.send_to_keepers = [this](const wire::message& message) {
        this->params.replicated_group->members().send_to_all(message);
    };
    arguments.send_to_gateways_and_stores = this->params.send_to_gateways_and_stores;
    arguments.target_changed = [this](const membership::directory_change& change) {
        this->target_changed(change);
    };
    return arguments;
}

limit_control::parameters fleet_control::make_limit_parameters() {
    limit_control::parameters arguments;
    arguments.time = this->params.time;
    arguments.is_leading = [this] { return this->params.replicated_group->has_leader_lease(); };
    arguments.send_to_instance = this->params.send_to_instance;
    arguments.send_to_gateways_and_stores = this->params.send_to_gateways_and_stores;
    arguments.send_to_keepers = [this](const wire::message& message) {
        this->params.replicated_group->members().send_to_all(message);
    };
    arguments.count_senders = this->params.count_gateways_and_stores;
    return arguments;
}

crash_control::parameters fleet_control::make_crash_parameters() const {
    crash_control::parameters arguments;
    arguments.time = this->params.time;
    arguments.is_leading = [this] { return this->params.replicated_group->has_leader_lease(); };
    arguments.send_to_instance = this->params.send_to_instance;
    arguments.send_to_gateways_and_stores = this->params.send_to_gateways_and_stores;
    return arguments;
}

weight_orders::parameters fleet_control::make_order_parameters() {
    weight_orders::parameters arguments;
    arguments.holder = this->params.instance;
    arguments.protocol = this->params.protocol;
    arguments.targets = &this->targets.directory();
    arguments.time = this->params.time;
    arguments.limits = this->params.limits;
    arguments.lease = this->params.settings.order_lease;
    arguments.fence = [this] { return this->term(); };
    arguments.may_order = [this] { return this->params.replicated_group->has_leader_lease(); };
    arguments.suspended = &suspended_time;
    return arguments;
}

fencing_token fleet_control::term() const {
    return fencing_token(this->params.replicated_group->consensus().state().term().value());
}

std::optional<fencing_token> fleet_control::duty_authority() {
    return this->lease.authority({this->params.replicated_group->has_leader_lease(), this->term()},
                                 {this->params.time->now(), suspended_time()});
}

void fleet_control::open_duties() {
    if (!this->params.duties) {
        return;
    }
    const settings::duty_settings& settings = *this->params.duties;
    platform_calls::parameters call_arguments;
    call_arguments.holder = this->params.instance;
    call_arguments.protocol = this->params.platform;
    call_arguments.platform = settings.platform;
    call_arguments.time = this->params.time;
    call_arguments.limits = this->params.limits;
    call_arguments.calls_per_second = settings.calls_per_second;
    call_arguments.authority = [this] { return this->duty_authority(); };
    call_arguments.metrics = this->params.metrics;
    this->platform = std::make_unique<platform_calls>(std::move(call_arguments));
    if (settings.reports_usage) {
        this->open_usage();
    }
    if (settings.scales_replicas) {
        this->open_scaling();
    }
}

void fleet_control::open_scaling() {
    scale_control::parameters arguments;
    arguments.time = this->params.time;
    arguments.send = [this](const duties::scale_order& order,
                            std::function<void(duties::call_outcome)> on_complete) {
        this->platform->send(order, std::move(on_complete));
    };
    arguments.may_order = [this] {
        return this->targets.has_complete_targets() && this->platform->may_send();
    };
    arguments.metrics = this->params.metrics;
    this->scaling = std::make_unique<scale_control>(std::move(arguments));
}

void fleet_control::open_usage() {
    const settings::duty_settings& settings = *this->params.duties;
    usage_control::parameters usage_arguments;
    usage_arguments.windows = duties::usage_windows({settings.usage_window, settings.usage_late});
    usage_arguments.time = this->params.time;
    usage_arguments.wall_time = &this->wall_time;
    usage_arguments.metrics = this->params.metrics;
    usage_arguments.calls = this->platform.get();
    usage_arguments.state = [this]() -> const replicated::replicated_state& {
        return this->state();
    };
    usage_arguments.submit = [this](const replicated::command& command,
                                    const std::function<void(bool)>& on_complete) {
        this->params.replicated_group->submit(
            command, [on_complete](const auto& result) { on_complete(result.has_value()); });
    };
    usage_arguments.may_commit = [this] {
        return this->params.oldest_keeper_revision() >= usage_revision;
    };
    this->usage = std::make_unique<usage_control>(std::move(usage_arguments));
}

void fleet_control::handle(const control_call& call) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, call);
}

void fleet_control::submit(const replicated::command& command, const control_reply& reply) {
    this->params.replicated_group->submit(command, [reply](const auto& result) {
        reply.post({result ? control_status::done : control_status::unavailable, {}, {}});
    });
}

void fleet_control::on(const put_routes& call) {
    this->params.replicated_group->submit(
        replicated::accept_routes{call.version, call.document}, [call](const auto& result) {
            spdlog::info("routes update version={} outcome={}", call.version.value(),
                         result ? "agreed" : "unknown");
            call.reply.post({result ? control_status::done : control_status::unavailable, {}, {}});
        });
}

void fleet_control::on(const get_routes& call) {
    this->params.replicated_group->submit(replicated::read_barrier{}, [this,
                                                                       call](const auto& result) {
        if (!result) {
            call.reply.post(
                {control_status::unavailable, {}, "no majority of keepers responded in time"});
        } else if (this->state().routes_version() == configuration_version(0)) {
            call.reply.post({control_status::unavailable, {}, "no routes have been accepted yet"});
        } else {
            call.reply.post({control_status::done, this->state().routes_document(), {}});
        }
    });
}

void fleet_control::on(const put_weights& call) {
    spdlog::info("weight version announced model={} version={}", call.model.value(),
                 call.version.value());
    this->submit(replicated::publish_weights{call.model, call.version}, call.reply);
}

bool fleet_control::has_contact_with_group() const {
    const quorum::replica& log_state = this->params.replicated_group->consensus().state();
    return log_state.is_leader() ? this->params.replicated_group->has_leader_lease()
                                 : !log_state.leader().value().empty();
}

void fleet_control::on(const malformed_call& /*call*/) {
    this->params.metrics->count("control_calls_malformed_total");
}

void fleet_control::on(const begin_retirement& call) {
    const bool is_repeated = this->state().leaving_stores().contains(call.store);
    if (!this->stores.contains(call.store)) {
        call.reply.post({control_status::missing, {}, "no such store"});
    } else if (!is_repeated &&
               !this->stores.can_retire(call.store, this->state().leaving_stores())) {
        call.reply.post({control_status::conflict, {}, "too few stores would remain"});
    } else {
        spdlog::info("store retirement requested store={} repeated={}", call.store.value(),
                     is_repeated);
        this->submit(replicated::retire_store{call.store}, call.reply);
    }
}

void fleet_control::on(const get_retirement& call) {
    if (!this->state().leaving_stores().contains(call.store)) {
        call.reply.post({control_status::missing, {}, "the store is not retiring"});
    } else if (this->stores.is_drained(call.store)) {
        call.reply.post({});
    } else {
        call.reply.post({control_status::unavailable, {}, "the store still holds jobs"});
    }
}

std::vector<wire::message> fleet_control::initial_messages() const {
    std::vector<wire::message> messages;
    messages.emplace_back(
        wire::routes_update{this->state().routes_version(), this->state().routes_document()});
    wire::fleet_update fleet;
    const quorum::replica& log_state = this->params.replicated_group->consensus().state();
    fleet.keeper_majority = log_state.voters().voters.size() / 2 + 1;
    group::member_links& links = this->params.replicated_group->members();
    for (const instance_id& id : links.ids()) {
        fleet.keepers.push_back({id, *links.address_of(id)});
    }
    fleet.stores = this->stores.addresses(this->state().leaving_stores());
    messages.emplace_back(std::move(fleet));
    const std::vector<wire::message> records = this->targets.initial_messages();
    messages.insert(messages.end(), records.begin(), records.end());
    if (!this->state().initial_stores().empty()) {
        wire::initial_members_update initial_members;
        for (const replicated::store_member& member : this->state().initial_stores()) {
            initial_members.initial_members.push_back({member.store, quorum::disk_id(member.disk)});
        }
        messages.emplace_back(std::move(initial_members));
    }
    const std::vector<wire::message> reports = this->limits.initial_messages();
    messages.insert(messages.end(), reports.begin(), reports.end());
    const std::vector<wire::message> suspects = this->crashes.initial_messages();
    messages.insert(messages.end(), suspects.begin(), suspects.end());
    return messages;
}

void fleet_control::instance_connected(std::uint64_t link, const wire::hello& hello) {
    this->relays.connected(link, hello);
    if (hello.role == wire::instance_role::keeper) {
        const instance_id id(hello.address.to_string());
        if (this->params.replicated_group->members().address_of(id) == nullptr) {
            spdlog::info("keeper discovered keeper={}", id.value());
            this->params.replicated_group->add_member(id, hello.address);
            this->fleet_changed();
        }
    } else if (hello.role == wire::instance_role::store) {
        this->stores.connected(hello);
        this->fleet_changed();
    }
}

void fleet_control::instance_disconnected(std::uint64_t link, const wire::hello& hello) {
    this->relays.disconnected(link, hello.instance);
    this->limits.instance_disconnected(hello.instance);
    this->crashes.instance_disconnected(hello.instance);
    if (hello.role == wire::instance_role::store) {
        this->stores.disconnected(hello.instance, this->params.time->now());
    }
}

void fleet_control::keeper_connected(const instance_id& keeper) {
    for (const wire::message& record : this->targets.initial_messages()) {
        this->params.replicated_group->members().send(keeper, record);
    }
    for (const wire::message& report : this->limits.initial_messages()) {
        this->params.replicated_group->members().send(keeper, report);
    }
    for (const wire::message& suspect : this->crashes.initial_messages()) {
        this->params.replicated_group->members().send(keeper, suspect);
    }
}

void fleet_control::handle_message(std::uint64_t link, const wire::hello& from,
                                   const wire::message& message) {
    if (this->crashes.handle(from.instance, message) ||
        this->streams.handle(from.instance, message) || this->relays.handle(link, from, message) ||
        (this->usage && this->usage->handle(from, message))) {
        return;
    }
    if (const auto* update = std::get_if<wire::target_update>(&message)) {
        this->targets.handle(*update);
    } else if (const auto* heartbeats = std::get_if<wire::target_heartbeats>(&message)) {
        this->targets.handle(*heartbeats);
    } else if (const auto* leaving = std::get_if<wire::target_leaving>(&message)) {
        this->targets.mark_leaving(leaving->target, leaving->incarnation);
    } else if (const auto* limit = std::get_if<wire::limit_report>(&message)) {
        // Limits of targets that are gone would never be removed.
        if (this->targets.directory().find(limit->target) != nullptr) {
            this->limits.handle(from.instance, *limit);
        }
    } else if (const auto* demands = std::get_if<wire::permit_demands>(&message)) {
        this->limits.handle(from.instance, *demands);
    } else if (const auto* registration = std::get_if<wire::store_registration>(&message)) {
        this->stores.registered(from.instance, *registration, this->params.time->now());
        this->bootstrap_stores();
    } else if (const auto* report = std::get_if<wire::store_report>(&message)) {
        this->stores.report_received(from.instance, *report);
        for (const membership::model_weights& needed : report->required_weights) {
            this->orders.dispatch(rollout::required_version{needed.model, needed.version});
        }
    } else if (const auto* demand = std::get_if<wire::model_demand_report>(&message)) {
        this->demand_received(*demand);
    } else if (const auto* fleet = std::get_if<wire::fleet_update>(&message)) {
        for (const wire::instance_address& keeper : fleet->keepers) {
            this->params.replicated_group->add_member(keeper.id, keeper.address);
        }
    }
}

void fleet_control::demand_received(const wire::model_demand_report& report) {
    if (report.term < this->demand_term) {
        return;
    }
    this->demand_term = report.term;
    rollout::demand_changed changed;
    for (const wire::model_demand& model : report.models) {
        changed.models.push_back({model.service, model.model,
                                  tokens_per_second(static_cast<double>(model.tokens_per_second)),
                                  model.largest_step_items});
    }
    this->orders.dispatch(changed);
    if (this->scaling) {
        this->scaling->demand_received(report);
    }
}

void fleet_control::target_changed(const membership::directory_change& change) {
    const membership::target_record& record = change.record;
    if (this->scaling) {
        this->scaling->target_changed(change);
    }
    if (change.event == membership::directory_event::removed) {
        this->limits.target_removed(record.id);
        this->orders.dispatch(rollout::engine_removed{record.id});
        return;
    }
    this->limits.target_changed(record.id, record.incarnation);
    rollout::engine_updated updated_engine;
    updated_engine.state.engine = record.id;
    updated_engine.state.service = record.backend;
    updated_engine.state.is_leaving = record.leaving;
    for (const membership::model_weights& held : record.weights) {
        updated_engine.state.versions.insert_or_assign(held.model, held.version);
    }
    updated_engine.is_restarted = change.event == membership::directory_event::restarted;
    this->orders.dispatch(updated_engine);
}

void fleet_control::applied(const replicated::command& command) {
    if (std::holds_alternative<replicated::accept_routes>(command)) {
        this->routes_changed();
    } else if (std::holds_alternative<replicated::publish_weights>(command)) {
        this->weights_changed();
    } else if (std::holds_alternative<replicated::retire_store>(command)) {
        this->fleet_changed();
    } else if (std::holds_alternative<replicated::commit_usage>(command) && this->usage) {
        this->usage->state_changed();
    } else if (std::holds_alternative<replicated::bootstrap_stores>(command)) {
        for (const wire::message& message : this->initial_messages()) {
            if (std::holds_alternative<wire::initial_members_update>(message)) {
                this->params.send_to_gateways_and_stores(message);
            }
        }
    }
}

void fleet_control::restored() {
    this->routes_changed();
    this->weights_changed();
    this->fleet_changed();
    if (this->usage) {
        this->usage->state_changed();
    }
}

void fleet_control::routes_changed() {
    const configuration_version version = this->state().routes_version();
    if (version == configuration_version(0)) {
        return;
    }
    this->params.send_to_gateways_and_stores(
        wire::routes_update{version, this->state().routes_document()});
    auto parsed = value_or_error(
        [&] { return this->params.parse_route_table(this->state().routes_document()); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        spdlog::error("routes can't be used version={} error=\"{}\"", version.value(),
                      problem->message);
        return;
    }
    const auto& table = std::get<routes::route_table>(parsed);
    if (this->scaling) {
        this->scaling->routes_changed(table);
    }
    if (this->usage) {
        this->usage->accounts_changed(!table.accounts.is_empty());
    }
    rollout::services_changed changed;
    for (const routes::service& service : table.services) {
        if (!service.engine) {
            continue;
        }
        const bool needs_single =
            std::any_of(table.routes.begin(), table.routes.end(), [&](const routes::route& route) {
                return route.needs_single_version &&
                       std::any_of(
                           route.shares.begin(), route.shares.end(),
                           [&](const auto& share) { return share.service == service.name; });
            });
        changed.services.push_back(
            {service.name, service.engine->models,
             needs_single ? rollout::load_mode::wait : rollout::load_mode::retain});
    }
    this->orders.dispatch(changed);
}

void fleet_control::weights_changed() {
    for (const auto& [model, version] : this->state().weights()) {
        this->orders.dispatch(rollout::model_version{model, version});
    }
}

void fleet_control::fleet_changed() {
    for (const wire::message& message : this->initial_messages()) {
        if (std::holds_alternative<wire::fleet_update>(message)) {
            this->params.send_to_gateways_and_stores(message);
        }
    }
}

void fleet_control::bootstrap_stores() {
    const bool may_bootstrap = this->params.replicated_group->is_leader() &&
                               !this->is_bootstrapping && this->state().initial_stores().empty();
    if (!may_bootstrap) {
        return;
    }
    const auto initial_members = this->stores.choose_initial_members(this->params.time->now());
    if (initial_members.empty()) {
        return;
    }
    spdlog::info("bootstrapping the group of stores count={}", initial_members.size());
    this->is_bootstrapping = true;
    this->params.replicated_group->submit(replicated::bootstrap_stores{initial_members},
                                          [this](const auto&) { this->is_bootstrapping = false; });
}

void fleet_control::leadership_changed(bool is_leader) {
    if (is_leader) {
        // Leases start anew, since heartbeats that were relayed to the previous leader may not have
        // reached this keeper.
        this->targets.renew_leases();
    }
    this->limits.leadership_changed(is_leader);
    this->crashes.leadership_changed(is_leader);
    this->orders.leadership_changed(is_leader);
    this->lease.leadership_changed(is_leader, {this->params.time->now(), suspended_time()});
    if (this->scaling) {
        this->scaling->leadership_changed(is_leader);
    }
    if (this->platform) {
        this->platform->leadership_changed(is_leader);
    }
    if (this->usage) {
        this->usage->leadership_changed(is_leader);
    }
}

void fleet_control::run_maintenance() {
    const time_point now = this->params.time->now();
    this->targets.relay_heartbeats();
    if (this->params.replicated_group->has_leader_lease()) {
        this->targets.remove_expired();
        this->bootstrap_stores();
    }
    this->stores.remove_expired(now);
    if (this->scaling) {
        this->scaling->check_authority();
    }
    this->maintenance_timer.arm(now + maintenance_interval);
}

} // namespace kingcupcart::keeper
