#include "keeper/internal/fleet_control.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>

namespace kingcupcart::keeper {

namespace {

constexpr duration tend_interval = std::chrono::milliseconds(500);
/// A target that was heard of here within this time is vouched for to the other keepers. A little
/// over two of its heartbeats.
constexpr duration vouch_time = std::chrono::milliseconds(2600);

} // namespace

fleet_control::fleet_control(parameters arguments)
    : params(std::move(arguments)),
      targets(location{}, membership::lease_scope::all_domains),
      stores(this->params.settings.tolerated_losses),
      orders({this->params.instance, this->params.port, &this->targets, this->params.time,
              this->params.settings.order_lease,
              [this] {
                  return fencing_number(
                      this->params.replicated_group->agreement().state().term().value());
              },
              [this] { return this->params.replicated_group->leads_for_sure(); }},
             {[this](const target_id& target, const model_name& model, weight_version version) {
                  this->change_record(target, [&](membership::target_record& record) {
                      membership::raise_weights(record.weights, {model, version});
                  });
              },
              [this](const target_id& target, bool is_loading) {
                  this->change_record(target, [&](membership::target_record& record) {
                      record.loading = is_loading;
                  });
              }}),
      maintenance_timer([this] { this->run_maintenance(); }) {
    this->maintenance_timer.arm_now();
}

fleet_control::~fleet_control() = default;

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
            spdlog::info("routes order version={} outcome={}", call.version.value(),
                         result ? "agreed" : "unknown");
            call.reply.post({result ? control_status::done : control_status::unavailable, {}, {}});
        });
}

void fleet_control::on(const get_routes& call) {
    this->params.replicated_group->submit(replicated::confirm_state{}, [this,
                                                                        call](const auto& result) {
        if (!result) {
            call.reply.post({control_status::unavailable, {}, "no majority of keepers in time"});
        } else if (this->state().routes_version() == configuration_version(0)) {
            call.reply.post({control_status::unavailable, {}, "no routes were accepted yet"});
        } else {
            call.reply.post({control_status::done, this->state().routes_document(), {}});
        }
    });
}

void fleet_control::on(const put_weights& call) {
    spdlog::info("weights named model={} version={}", call.model.value(), call.version.value());
    this->submit(replicated::name_weights{call.model, call.version}, call.reply);
}

bool fleet_control::is_connected() const {
    const quorum::replica& agreed = this->params.replicated_group->agreement().state();
    return agreed.is_leader() ? this->params.replicated_group->leads_for_sure()
                              : !agreed.leader().value().empty();
}

void fleet_control::on(const target_heartbeat& call) {
    membership::target_record record = call.record;
    if (record.leaving && !this->is_connected()) {
        call.reply.post({control_status::unavailable, {}, "cut off from the other keepers"});
        return;
    }
    const membership::target_record* known = this->targets.find(record.id);
    if (known != nullptr && known->incarnation == record.incarnation) {
        // A beat may have been on its way while the weights were loaded.
        for (const membership::model_weights& one : known->weights) {
            membership::raise_weights(record.weights, one);
        }
        record.loading = known->loading;
        record.leaving = record.leaving || known->leaving;
    }
    const time_point now = this->params.time->now();
    const auto change = this->targets.announce(record, this->params.settings.target_lease, now);
    if (change.event != membership::directory_event::stale) {
        this->beats[record.id] = now;
    }
    this->spread(change);
    call.reply.post({});
}

void fleet_control::on(const deregister_target& call) {
    if (!this->is_connected()) {
        call.reply.post({control_status::unavailable, {}, "cut off from the other keepers"});
        return;
    }
    const membership::target_record* known = this->targets.find(call.target);
    const bool is_meant = known != nullptr &&
                          (call.incarnation.value() == 0 || call.incarnation == known->incarnation);
    if (is_meant) {
        membership::target_record gone = *known;
        gone.leaving = true;
        gone.gone = true;
        // No heartbeat of this incarnation counts any more.
        gone.sequence = std::numeric_limits<std::uint64_t>::max();
        this->spread(this->targets.learn(gone, this->params.settings.target_lease,
                                         this->params.time->now()));
        this->beats.erase(call.target);
    }
    call.reply.post({});
}

void fleet_control::on(const begin_retirement& call) {
    const bool is_repeated = this->state().leaving_stores().contains(call.store);
    if (!this->stores.knows(call.store)) {
        call.reply.post({control_status::missing, {}, "no such store"});
    } else if (!is_repeated &&
               !this->stores.can_spare(call.store, this->state().leaving_stores())) {
        call.reply.post({control_status::conflict, {}, "too few stores would be left"});
    } else {
        spdlog::info("store retires store={} repeated={}", call.store.value(), is_repeated);
        this->submit(replicated::retire_store{call.store}, call.reply);
    }
}

void fleet_control::on(const get_retirement& call) {
    if (!this->state().leaving_stores().contains(call.store)) {
        call.reply.post({control_status::missing, {}, "the store does not retire"});
    } else if (this->stores.is_emptied(call.store)) {
        call.reply.post({});
    } else {
        call.reply.post({control_status::unavailable, {}, "the store still holds jobs"});
    }
}

std::vector<wire::message> fleet_control::greetings() const {
    std::vector<wire::message> said;
    said.emplace_back(
        wire::routes_update{this->state().routes_version(), this->state().routes_document()});
    wire::fleet_update fleet;
    const quorum::replica& agreed = this->params.replicated_group->agreement().state();
    fleet.keepers_needed = agreed.voters().voters.size() / 2 + 1;
    group::member_links& links = this->params.replicated_group->members();
    for (const instance_id& id : links.ids()) {
        fleet.keepers.push_back({id, *links.address_of(id)});
    }
    fleet.stores = this->stores.addresses(this->state().leaving_stores());
    said.emplace_back(std::move(fleet));
    for (const membership::target_record& record : this->targets.records()) {
        said.emplace_back(wire::target_update{record});
    }
    if (!this->state().initial_stores().empty()) {
        wire::initial_members_update initial_members;
        for (const replicated::store_member& one : this->state().initial_stores()) {
            initial_members.initial_members.push_back({one.store, quorum::disk_id(one.disk)});
        }
        said.emplace_back(std::move(initial_members));
    }
    return said;
}

void fleet_control::member_joined(const wire::hello& hello) {
    if (hello.role == wire::instance_role::keeper) {
        const instance_id id(hello.address.to_string());
        if (this->params.replicated_group->members().address_of(id) == nullptr) {
            spdlog::info("keeper learned keeper={}", id.value());
            this->params.replicated_group->add_member(id, hello.address);
            this->fleet_changed();
        }
    } else if (hello.role == wire::instance_role::store) {
        this->stores.joined(hello);
        this->fleet_changed();
    }
}

void fleet_control::member_lost(const wire::hello& hello) {
    if (hello.role == wire::instance_role::store) {
        this->stores.lost(hello.instance, this->params.time->now());
    }
}

void fleet_control::keeper_reached(const instance_id& keeper) {
    for (const membership::target_record& record : this->targets.records()) {
        this->params.replicated_group->members().send(keeper, wire::target_update{record});
    }
}

void fleet_control::heard(const wire::hello& from, const wire::message& said) {
    const time_point now = this->params.time->now();
    if (const auto* news = std::get_if<wire::target_update>(&said)) {
        const auto change =
            this->targets.learn(news->record, this->params.settings.target_lease, now);
        this->take(change);
    } else if (const auto* vouched = std::get_if<wire::target_heartbeats>(&said)) {
        for (const membership::target_load& one : vouched->targets) {
            this->targets.renew(one.id, this->params.settings.target_lease, now);
        }
    } else if (const auto* presented = std::get_if<wire::store_registration>(&said)) {
        this->stores.presented(from.instance, *presented, now);
        this->bootstrap_stores();
    } else if (const auto* report = std::get_if<wire::store_report>(&said)) {
        this->stores.reported(from.instance, *report);
        for (const membership::model_weights& one : report->oldest_needed) {
            this->orders.tell_planner(rollout::version_needed{one.model, one.version});
        }
    } else if (const auto* fleet = std::get_if<wire::fleet_update>(&said)) {
        for (const wire::instance_address& keeper : fleet->keepers) {
            this->params.replicated_group->add_member(keeper.id, keeper.address);
        }
    }
}

void fleet_control::spread(const membership::directory_change& change) {
    if (change.is_news()) {
        this->params.replicated_group->members().send_to_all(wire::target_update{change.record});
    }
    this->take(change);
}

void fleet_control::take(const membership::directory_change& change) {
    if (!change.is_news()) {
        return;
    }
    const membership::target_record& record = change.record;
    spdlog::info("target {} target={} backend={} address={} incarnation={} sequence={} leaving={}",
                 membership::to_string(change.event), record.id.value(), record.backend.value(),
                 record.address.to_string(), record.incarnation.value(), record.sequence,
                 record.leaving);
    this->params.send_to_members(wire::target_update{record});
    if (change.event == membership::directory_event::removed) {
        this->orders.tell_planner(rollout::engine_lost{record.id});
        return;
    }
    rollout::engine_seen seen;
    seen.state.engine = record.id;
    seen.state.service = record.backend;
    seen.state.is_leaving = record.leaving;
    for (const membership::model_weights& one : record.weights) {
        seen.state.versions.insert_or_assign(one.model, one.version);
    }
    seen.is_restarted = change.event == membership::directory_event::restarted;
    this->orders.tell_planner(seen);
}

void fleet_control::change_record(const target_id& target,
                                  const std::function<void(membership::target_record&)>& change) {
    const membership::target_record* known = this->targets.find(target);
    if (known == nullptr) {
        return;
    }
    membership::target_record changed = *known;
    change(changed);
    if (changed == *known) {
        return;
    }
    ++changed.revision;
    const auto learned =
        this->targets.learn(changed, this->params.settings.target_lease, this->params.time->now());
    if (learned.is_news()) {
        // The planner knows already: it is told only what others say.
        this->params.replicated_group->members().send_to_all(wire::target_update{changed});
        this->params.send_to_members(wire::target_update{changed});
    }
}

void fleet_control::applied(const replicated::command& command) {
    if (std::holds_alternative<replicated::accept_routes>(command)) {
        this->routes_changed();
    } else if (std::holds_alternative<replicated::name_weights>(command)) {
        this->weights_changed();
    } else if (std::holds_alternative<replicated::retire_store>(command)) {
        this->fleet_changed();
    } else if (std::holds_alternative<replicated::bootstrap_stores>(command)) {
        for (const wire::message& one : this->greetings()) {
            if (std::holds_alternative<wire::initial_members_update>(one)) {
                this->params.send_to_members(one);
            }
        }
    }
}

void fleet_control::restored() {
    this->routes_changed();
    this->weights_changed();
    this->fleet_changed();
}

void fleet_control::routes_changed() {
    const configuration_version version = this->state().routes_version();
    if (version == configuration_version(0)) {
        return;
    }
    this->params.send_to_members(wire::routes_update{version, this->state().routes_document()});
    auto read =
        value_or_error([&] { return this->params.read_table(this->state().routes_document()); });
    if (const auto* problem = std::get_if<error>(&read)) {
        spdlog::error("routes can't be used version={} error=\"{}\"", version.value(),
                      problem->message);
        return;
    }
    const auto& table = std::get<routes::route_table>(read);
    rollout::services_changed changed;
    for (const routes::service& service : table.services) {
        if (!service.engine) {
            continue;
        }
        const bool needs_single =
            std::any_of(table.routes.begin(), table.routes.end(), [&](const routes::route& one) {
                return one.needs_single_version &&
                       std::any_of(one.shares.begin(), one.shares.end(), [&](const auto& share) {
                           return share.service == service.name;
                       });
            });
        changed.services.push_back(
            {service.name, service.engine->models,
             needs_single ? rollout::load_mode::wait : rollout::load_mode::retain});
    }
    this->orders.tell_planner(changed);
}

void fleet_control::weights_changed() {
    for (const auto& [model, version] : this->state().weights()) {
        this->orders.tell_planner(rollout::version_named{model, version});
    }
}

void fleet_control::fleet_changed() {
    for (const wire::message& one : this->greetings()) {
        if (std::holds_alternative<wire::fleet_update>(one)) {
            this->params.send_to_members(one);
        }
    }
}

void fleet_control::bootstrap_stores() {
    const bool may_bootstrap = this->params.replicated_group->is_leader() &&
                               !this->is_bootstrapping && this->state().initial_stores().empty();
    if (!may_bootstrap) {
        return;
    }
    const auto initial_members = this->stores.choose_founders(this->params.time->now());
    if (initial_members.empty()) {
        return;
    }
    spdlog::info("stores are founded count={}", initial_members.size());
    this->is_bootstrapping = true;
    this->params.replicated_group->submit(replicated::bootstrap_stores{initial_members},
                                          [this](const auto&) { this->is_bootstrapping = false; });
}

void fleet_control::leadership_changed(bool is_leader) {
    const time_point now = this->params.time->now();
    if (is_leader) {
        // Who vouched to the earlier leader has not vouched to this one yet.
        for (const membership::target_record& record : this->targets.records()) {
            this->targets.renew(record.id, this->params.settings.target_lease, now);
        }
    }
    this->orders.leadership_changed(is_leader);
}

void fleet_control::run_maintenance() {
    const time_point now = this->params.time->now();
    wire::target_heartbeats vouched;
    for (const auto& [target, at] : this->beats) {
        if (now - at < vouch_time) {
            vouched.targets.push_back({target, 0, 0});
        }
    }
    if (!vouched.targets.empty()) {
        this->params.replicated_group->members().send_to_all(vouched);
    }
    if (this->params.replicated_group->leads_for_sure()) {
        for (const auto& change : this->targets.expire(now)) {
            this->beats.erase(change.record.id);
            this->spread(change);
        }
        this->bootstrap_stores();
    }
    this->stores.forget_lost(now);
    this->maintenance_timer.arm(now + tend_interval);
}

} // namespace kingcupcart::keeper
