#include "keeper/internal/keeper.h"

#include "configuration/deployment.h"
#include "wire/storage_codec.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <utility>

namespace kingcupcart::keeper {

namespace {

using nlohmann::ordered_json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

replicated::wall_seconds wall_now() {
    return std::chrono::duration_cast<replicated::wall_seconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::string to_body(const ordered_json& value) {
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

void respond_to_order(const admin::configuration_order& order,
                      const std::optional<replicated::result>& result) {
    ordered_json body;
    if (!result) {
        body["error"] = "no majority of keepers responded in time: the order may or may not have "
                        "been accepted; send it again with the same order_id";
        order.reply.post({status_unavailable, to_body(body)});
        return;
    }
    const auto& outcome = std::get<replicated::configuration_result>(*result);
    spdlog::info("configuration order={} base={} accepted={} version={}", order.order_id,
                 order.base.value(), outcome.is_accepted, outcome.version.value());
    body["accepted"] = outcome.is_accepted;
    body["version"] = outcome.version.value();
    if (!outcome.is_accepted) {
        body["error"] = "the order is based on version " + std::to_string(order.base.value()) +
                        ", but the current version is " + std::to_string(outcome.version.value());
    }
    order.reply.post({outcome.is_accepted ? status_ok : status_conflict, to_body(body)});
}

} // namespace

outcome<std::unique_ptr<keeper>> keeper::open(parameters arguments) {
    std::unique_ptr<keeper> created(new keeper(std::move(arguments)));
    BOOST_LEAF_CHECK(created->load_initial_configuration());
    BOOST_LEAF_ASSIGN(
        created->listener,
        wire::listener::open(created->params.settings.keeper->address,
                             [handler = created.get()](GSocketConnection* connection) {
                                 handler->accept(connection);
                             }));
    BOOST_LEAF_CHECK(created->open_group());
    return created;
}

keeper::keeper(parameters arguments)
    : params(std::move(arguments)), cleanup_timer([this] {
          this->pending_deletion.clear();
          std::erase_if(this->linked_instances, [](const auto& item) { return !item.second.link; });
      }) {}

keeper::keeper_group::parameters keeper::group_parameters() const {
    const settings::keeper_settings& config = *this->params.settings.keeper;
    keeper_group::parameters arguments;
    arguments.log.local_id = this->params.settings.instance;
    arguments.log.folder = config.data;
    // A keeper that is configured without other keepers may always bootstrap: there is no group
    // that it could be a member of.
    arguments.log.may_bootstrap =
        config.may_bootstrap || (config.members.empty() && !config.control);
    arguments.log.seed = this->params.incarnation.value();
    arguments.log.time = this->params.time;
    arguments.incarnation = this->params.incarnation;
    arguments.greeting = [this] { return this->make_hello(); };
    if (config.control) {
        // The settings of a fleet hold no identifiers of other keepers, so keepers are identified
        // by their addresses.
        arguments.log.local_id = instance_id(config.address.to_string());
        arguments.log.desired_voters = 2 * config.control->tolerated_losses + 1;
        if (config.control->is_first_start) {
            for (const endpoint& seed : config.control->fleet.seed_links()) {
                arguments.log.initial_members.emplace_back(seed.to_string());
            }
        }
    }
    return arguments;
}

outcome<void> keeper::open_group() {
    const settings::keeper_settings& config = *this->params.settings.keeper;
    BOOST_LEAF_ASSIGN(
        this->replicated_group,
        keeper_group::open(
            this->group_parameters(),
            {[this](const replicated::command& command, const auto&) { this->applied(command); },
             [this] { this->publish(); },
             [this](bool is_leader) { this->leadership_changed(is_leader); },
             [this](const instance_id& /*from*/, const wire::message& message) {
                 if (this->fleet) {
                     this->fleet->handle_message(0, {}, message);
                 }
             },
             [this](const instance_id& keeper) {
                 if (this->fleet) {
                     this->fleet->keeper_connected(keeper);
                 }
             },
             [](const instance_id&) {}, [] {}}));
    for (const std::string& member : config.members) {
        const auto at = member.find('@');
        BOOST_LEAF_AUTO(address, parse_endpoint(member.substr(at + 1)));
        this->replicated_group->add_member(instance_id(member.substr(0, at)), address);
    }
    if (config.control) {
        this->open_fleet();
    }
    return {};
}

void keeper::open_fleet() {
    const settings::control_settings& control = *this->params.settings.keeper->control;
    this->on(settings::seeds_changed{control.fleet.seed_links()});
    fleet_control::parameters arguments;
    arguments.settings = control;
    arguments.instance = this->params.settings.instance;
    arguments.time = this->params.time;
    arguments.limits = this->params.settings.responses;
    arguments.replicated_group = this->replicated_group.get();
    arguments.parse_route_table = this->params.protocol.parse_route_table;
    arguments.protocol = this->params.protocol.targets;
    arguments.duties = this->params.settings.duties;
    arguments.platform = this->params.protocol.platform;
    arguments.metrics = &this->metrics;
    arguments.send_to_gateways_and_stores = [this](const wire::message& message) {
        this->send_to_gateways_and_stores(message);
    };
    arguments.send_to_instance = [this](const instance_id& to, const wire::message& message) {
        this->send_to_instance(to, message);
    };
    arguments.count_gateways_and_stores = [this] { return this->count_gateways_and_stores(); };
    arguments.oldest_keeper_revision = [this] {
        std::uint16_t oldest = wire::protocol_revision;
        for (const auto& [keeper, revision] : this->keeper_revisions) {
            oldest = std::min(oldest, revision);
        }
        return oldest;
    };
    this->fleet = std::make_unique<fleet_control>(std::move(arguments));
    this->fleet->restored();
}

bool keeper::is_gateway_or_store(const linked_instance& instance) {
    return instance.link && (instance.hello.role == wire::instance_role::gateway ||
                             instance.hello.role == wire::instance_role::store);
}

void keeper::send_to_gateways_and_stores(const wire::message& message) {
    for (auto& [number, instance] : this->linked_instances) {
        if (is_gateway_or_store(instance)) {
            instance.link->send(message);
        }
    }
}

void keeper::send_to_instance(const instance_id& to, const wire::message& message) {
    for (auto& [number, instance] : this->linked_instances) {
        if (instance.link && instance.hello.instance == to) {
            instance.link->send(message);
        }
    }
}

std::size_t keeper::count_gateways_and_stores() const {
    return static_cast<std::size_t>(
        std::count_if(this->linked_instances.begin(), this->linked_instances.end(),
                      [](const auto& entry) { return is_gateway_or_store(entry.second); }));
}

void keeper::on(const settings::seeds_changed& changed) {
    for (const endpoint& seed : changed.links) {
        this->replicated_group->add_member(instance_id(seed.to_string()), seed);
    }
}

void keeper::on(const group::stop_started& started) {
    this->replicated_group->hand_over(started.on_drained);
}

void keeper::on(const control_call& call) {
    if (this->fleet) {
        this->fleet->handle(call);
    }
}

void keeper::leadership_changed(bool is_leader) {
    if (this->fleet) {
        this->fleet->leadership_changed(is_leader);
        return;
    }
    if (is_leader && this->state().version() == configuration_version(0)) {
        this->replicated_group->submit(
            replicated::accept_configuration{"initial", {}, this->initial_text, wall_now()},
            [](const auto&) {});
    }
}

void keeper::applied(const replicated::command& command) {
    if (this->fleet) {
        this->fleet->applied(command);
    }
    if (std::holds_alternative<replicated::accept_configuration>(command)) {
        spdlog::info("configuration accepted version={}", this->state().version().value());
        this->publish();
    }
}

keeper::~keeper() = default;

void keeper::handle(keeper_message incoming) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
}

outcome<void> keeper::load_initial_configuration() {
    const std::string& path = this->params.settings.keeper->initial_configuration;
    std::string text = configuration::deployment::default_text();
    if (!path.empty()) {
        std::ifstream file(path, std::ios::binary);
        if (!file) {
            return fail(error_code::not_found, path + ": cannot be opened");
        }
        std::ostringstream content;
        content << file.rdbuf();
        text = content.str();
        BOOST_LEAF_CHECK(configuration::deployment::parse(text, path));
    }
    this->initial_text = text;
    return {};
}

void keeper::accept(GSocketConnection* connection) {
    const std::uint64_t number = ++this->last_link_number;
    this->linked_instances[number].link = wire::peer_link::accept(
        connection,
        {[] {},
         [this, number](wire::message incoming) { this->receive(number, std::move(incoming)); },
         [this, number](const std::string& reason) {
             linked_instance& lost = this->linked_instances.at(number);
             spdlog::info("link lost instance={} reason=\"{}\"", lost.hello.instance.value(),
                          reason);
             if (this->fleet) {
                 this->fleet->instance_disconnected(number, lost.hello);
             }
             this->pending_deletion.push_back(std::move(lost.link));
             this->cleanup_timer.arm_now();
         }});
}

void keeper::receive(std::uint64_t number, wire::message incoming) {
    linked_instance& from = this->linked_instances.at(number);
    if (this->replicated_group->receive(incoming)) {
        return;
    }
    if (this->fleet && !std::holds_alternative<wire::hello>(incoming)) {
        this->fleet->handle_message(number, from.hello, incoming);
        return;
    }
    if (const auto* greeting = std::get_if<wire::hello>(&incoming)) {
        from.hello = *greeting;
        if (greeting->role == wire::instance_role::keeper) {
            this->keeper_revisions.insert_or_assign(greeting->address, greeting->revision);
            this->replicated_group->members().reconnect(
                this->params.settings.keeper->control ? instance_id(greeting->address.to_string())
                                                      : greeting->instance);
        }
        this->send_initial_messages(number, from);
    } else if (const auto* update = std::get_if<wire::target_update>(&incoming)) {
        this->relay(number, update->record);
    } else if (const auto* report = std::get_if<wire::configuration_in_force>(&incoming)) {
        from.in_force = report->version;
    } else if (const auto* request = std::get_if<wire::claim_request>(&incoming)) {
        this->claim(number, *request);
    }
}

void keeper::claim(std::uint64_t number, const wire::claim_request& request) {
    const replicated::claim_key command{request.key, request.owner, request.incarnation,
                                        wall_now()};
    this->replicated_group->submit(command, [this, number,
                                             claim = request.claim](const auto& result) {
        const auto from = this->linked_instances.find(number);
        if (from == this->linked_instances.end() || !from->second.link) {
            return;
        }
        if (!result) {
            from->second.link->send(wire::claim_response{claim, false, {}, {}});
            return;
        }
        const auto& owner = std::get<replicated::claim_result>(*result);
        from->second.link->send(wire::claim_response{claim, true, owner.owner, owner.incarnation});
    });
}

void keeper::send_initial_messages(std::uint64_t number, linked_instance& recipient) {
    recipient.link->send(this->make_hello());
    if (this->fleet) {
        for (const wire::message& message : this->fleet->initial_messages()) {
            recipient.link->send(message);
        }
        this->fleet->instance_connected(number, recipient.hello);
        return;
    }
    if (recipient.hello.role == wire::instance_role::keeper) {
        return;
    }
    if (this->state().version() > configuration_version(0)) {
        recipient.link->send(
            wire::configuration_update{this->state().version(), this->state().text()});
    }
    for (const auto& [id, record] : this->targets) {
        if (record.place != recipient.hello.place) {
            recipient.link->send(wire::target_update{record});
        }
    }
    const wire::instance_update update{{recipient.hello.instance, recipient.hello.address}};
    for (auto& [other_number, other] : this->linked_instances) {
        const bool is_other = other.link && other.hello.role == wire::instance_role::entry &&
                              other.hello.instance != recipient.hello.instance;
        if (is_other && !other.hello.instance.value().empty()) {
            other.link->send(update);
            recipient.link->send(
                wire::instance_update{{other.hello.instance, other.hello.address}});
        }
    }
}

void keeper::relay(std::uint64_t from, const membership::target_record& record) {
    const auto known = this->targets.find(record.id);
    if (known != this->targets.end() && !record.is_newer_than(known->second)) {
        return;
    }
    this->targets.insert_or_assign(record.id, record);
    this->metrics.count("target_news_relayed_total");
    for (auto& [number, other] : this->linked_instances) {
        if (number != from && other.link && other.hello.place != record.place) {
            other.link->send(wire::target_update{record});
        }
    }
}

void keeper::publish() {
    if (!this->replicated_group) {
        // The group is still loading its state from disk, and no instance is linked yet.
        return;
    }
    if (this->fleet) {
        this->fleet->restored();
        return;
    }
    const wire::configuration_update update{this->state().version(), this->state().text()};
    for (auto& [number, instance] : this->linked_instances) {
        if (instance.link && !instance.hello.instance.value().empty() &&
            instance.hello.role == wire::instance_role::entry) {
            instance.link->send(update);
        }
    }
}

wire::hello keeper::make_hello() const {
    wire::hello hello;
    hello.instance = this->params.settings.instance;
    hello.incarnation = this->params.incarnation;
    hello.place = this->params.settings.place;
    hello.role = wire::instance_role::keeper;
    hello.revision = wire::protocol_revision;
    hello.address = this->listener->address();
    hello.in_force = this->state().version();
    return hello;
}

void keeper::on(const admin::configuration_order& order) {
    const auto parsed = value_or_error(
        [&] { return configuration::deployment::parse(order.text, "configuration"); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        order.reply.post({status_bad_request, to_body({{"error", problem->message}})});
        return;
    }
    this->replicated_group->submit(
        replicated::accept_configuration{order.order_id, order.base, order.text, wall_now()},
        [order](const auto& result) { respond_to_order(order, result); });
}

void keeper::on(const admin::configuration_request& request) {
    ordered_json body;
    body["version"] = this->state().version().value();
    body["text"] = this->state().text();
    request.reply.post({status_ok, to_body(body)});
}

void keeper::on(const admin::report_request& request) {
    ordered_json status;
    status["instance"] = this->params.settings.instance.value();
    status["configuration_version"] = this->state().version().value();
    const quorum::replica& log_state = this->replicated_group->consensus().state();
    status["leads"] = log_state.is_leader();
    status["leader"] = log_state.leader().value();
    status["term"] = log_state.term().value();
    status["committed"] = log_state.committed().value();
    status["voters"] = ordered_json::array();
    for (const quorum::member& voter : log_state.voters().voters) {
        status["voters"].push_back(voter.id.value());
    }
    status["votes_here"] = log_state.is_committed_voter();
    status["joining"] = log_state.learner_count();
    status["journal_bytes"] = this->replicated_group->consensus().journal_bytes();
    if (this->fleet) {
        status["targets"] = this->fleet->target_count();
        this->fleet->export_metrics();
    }
    status["instances"] = ordered_json::array();
    for (const auto& [number, linked] : this->linked_instances) {
        if (linked.hello.role == wire::instance_role::keeper) {
            continue;
        }
        ordered_json instance;
        instance["id"] = linked.hello.instance.value();
        instance["failure_domain"] = linked.hello.place.domain.value();
        instance["in_force"] = linked.in_force.value();
        status["instances"].push_back(std::move(instance));
    }
    this->metrics.set("keeper_configuration_version",
                      static_cast<double>(this->state().version().value()));
    this->metrics.set("keeper_syncs",
                      static_cast<double>(this->replicated_group->consensus().sync_count()));
    this->metrics.set("keeper_journal_bytes",
                      static_cast<double>(this->replicated_group->consensus().journal_bytes()));
    const group::replicated_log& log = this->replicated_group->consensus();
    this->metrics.set("keeper_log_suspended", log.is_suspended() ? 1 : 0);
    this->metrics.set("keeper_log_suspensions", static_cast<double>(log.suspension_count()));
    this->metrics.set("keeper_instances", static_cast<double>(this->linked_instances.size()));
    admin::report report;
    report.component = "keeper";
    report.status = to_body(status);
    report.metrics = this->metrics.exposition();
    report.is_ready = !log.is_suspended() && !log_state.leader().value().empty();
    request.reply.post(std::move(report));
}

} // namespace kingcupcart::keeper
