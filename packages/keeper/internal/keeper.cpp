#include "keeper/internal/keeper.h"

#include "configuration/deployment.h"
#include "wire/keeper_codec.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

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

std::string print(const ordered_json& value) {
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

void answer_order(const admin::configuration_order& order,
                  const std::optional<replicated::result>& result) {
    ordered_json body;
    if (!result) {
        body["error"] =
            "no majority of keepers in time: the order may or may not be accepted; send "
            "it again with the same order_id";
        order.reply.post({status_unavailable, print(body)});
        return;
    }
    const auto& outcome = std::get<replicated::configuration_result>(*result);
    spdlog::info("configuration order={} base={} accepted={} version={}", order.order_id,
                 order.base.value(), outcome.is_accepted, outcome.version.value());
    body["accepted"] = outcome.is_accepted;
    body["version"] = outcome.version.value();
    if (!outcome.is_accepted) {
        body["error"] = "the order builds on version " + std::to_string(order.base.value()) +
                        ", but another change made version " +
                        std::to_string(outcome.version.value());
    }
    order.reply.post({outcome.is_accepted ? status_ok : status_conflict, print(body)});
}

} // namespace

outcome<std::unique_ptr<keeper>> keeper::open(parameters arguments) {
    std::unique_ptr<keeper> made(new keeper(std::move(arguments)));
    BOOST_LEAF_CHECK(made->load_initial_configuration());
    BOOST_LEAF_ASSIGN(made->listener,
                      wire::listener::open(made->params.settings.keeper->address,
                                           [self = made.get()](GSocketConnection* connection) {
                                               self->accept(connection);
                                           }));
    BOOST_LEAF_CHECK(made->open_group());
    return made;
}

keeper::keeper(parameters arguments)
    : params(std::move(arguments)), cleanup_timer([this] {
          this->retired.clear();
          std::erase_if(this->members, [](const auto& item) { return !item.second.link; });
      }) {}

keeper::keeper_group::parameters keeper::group_parts() const {
    const settings::keeper_settings& kept = *this->params.settings.keeper;
    keeper_group::parameters arguments;
    arguments.log.self = this->params.settings.instance;
    arguments.log.folder = kept.data;
    // One that has no others cannot be mistaken for a part of them.
    arguments.log.may_bootstrap = kept.may_bootstrap || (kept.members.empty() && !kept.control);
    arguments.log.seed = this->params.incarnation.value();
    arguments.log.time = this->params.time;
    arguments.incarnation = this->params.incarnation;
    arguments.greeting = [this] { return this->make_hello(); };
    if (kept.control) {
        // In a fleet nobody is told the others' names: their addresses name them.
        arguments.log.self = instance_id(kept.address.to_string());
        arguments.log.voters_wanted = 2 * kept.control->tolerated_losses + 1;
        if (kept.control->is_first_start) {
            for (const endpoint& seed : kept.control->fleet.seed_links()) {
                arguments.log.initial_members.emplace_back(seed.to_string());
            }
        }
    }
    return arguments;
}

outcome<void> keeper::open_group() {
    const settings::keeper_settings& kept = *this->params.settings.keeper;
    BOOST_LEAF_ASSIGN(
        this->replicated_group,
        keeper_group::open(
            this->group_parts(),
            {[this](const replicated::command& command, const auto&) { this->applied(command); },
             [this] { this->publish(); },
             [this](bool is_leader) { this->leadership_changed(is_leader); },
             [this](const wire::message& said) {
                 if (this->fleet) {
                     this->fleet->heard({}, said);
                 }
             },
             [this](const instance_id& keeper) {
                 if (this->fleet) {
                     this->fleet->keeper_reached(keeper);
                 }
             }}));
    for (const std::string& member : kept.members) {
        const auto at = member.find('@');
        BOOST_LEAF_AUTO(address, parse_endpoint(member.substr(at + 1)));
        this->replicated_group->add_member(instance_id(member.substr(0, at)), address);
    }
    if (kept.control) {
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
    arguments.replicated_group = this->replicated_group.get();
    arguments.read_table = this->params.outer.read_table;
    arguments.port = this->params.outer.targets;
    arguments.send_to_members = [this](const wire::message& said) { this->send_to_members(said); };
    this->fleet = std::make_unique<fleet_control>(std::move(arguments));
    this->fleet->restored();
}

void keeper::send_to_members(const wire::message& said) {
    for (auto& [number, one] : this->members) {
        const bool is_member = one.hello.role == wire::instance_role::gateway ||
                               one.hello.role == wire::instance_role::store;
        if (one.link && is_member) {
            one.link->send(said);
        }
    }
}

void keeper::on(const settings::seeds_changed& changed) {
    for (const endpoint& seed : changed.links) {
        this->replicated_group->add_member(instance_id(seed.to_string()), seed);
    }
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
    const std::uint64_t number = ++this->last_member;
    this->members[number].link = wire::peer_link::accept(
        connection,
        {[] {}, [this, number](wire::message said) { this->receive(number, std::move(said)); },
         [this, number](const std::string& reason) {
             member& gone = this->members.at(number);
             spdlog::info("link lost instance={} reason=\"{}\"", gone.hello.instance.value(),
                          reason);
             if (this->fleet) {
                 this->fleet->member_lost(gone.hello);
             }
             this->retired.push_back(std::move(gone.link));
             this->cleanup_timer.arm_now();
         }});
}

void keeper::receive(std::uint64_t number, wire::message said) {
    member& from = this->members.at(number);
    if (this->replicated_group->receive(said)) {
        return;
    }
    if (this->fleet && !std::holds_alternative<wire::hello>(said)) {
        this->fleet->heard(from.hello, said);
        return;
    }
    if (const auto* greeting = std::get_if<wire::hello>(&said)) {
        from.hello = *greeting;
        this->greet(from);
    } else if (const auto* news = std::get_if<wire::target_update>(&said)) {
        this->relay(number, news->record);
    } else if (const auto* told = std::get_if<wire::configuration_in_force>(&said)) {
        from.in_force = told->version;
    } else if (const auto* asked = std::get_if<wire::claim_request>(&said)) {
        this->claim(number, *asked);
    }
}

void keeper::claim(std::uint64_t number, const wire::claim_request& asked) {
    const replicated::claim_key wanted{asked.key, asked.owner, asked.incarnation, wall_now()};
    this->replicated_group->submit(wanted, [this, number, claim = asked.claim](const auto& result) {
        const auto from = this->members.find(number);
        if (from == this->members.end() || !from->second.link) {
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

void keeper::greet(member& joined) {
    joined.link->send(this->make_hello());
    if (this->fleet) {
        for (const wire::message& one : this->fleet->greetings()) {
            joined.link->send(one);
        }
        this->fleet->member_joined(joined.hello);
        return;
    }
    if (joined.hello.role == wire::instance_role::keeper) {
        return;
    }
    if (this->state().version() > configuration_version(0)) {
        joined.link->send(
            wire::configuration_update{this->state().version(), this->state().text()});
    }
    for (const auto& [id, record] : this->targets) {
        if (record.place != joined.hello.place && !record.gone) {
            joined.link->send(wire::target_update{record});
        }
    }
    const wire::instance_update news{{joined.hello.instance, joined.hello.address}};
    for (auto& [number, other] : this->members) {
        const bool is_other = other.link && other.hello.role == wire::instance_role::entry &&
                              other.hello.instance != joined.hello.instance;
        if (is_other && !other.hello.instance.value().empty()) {
            other.link->send(news);
            joined.link->send(wire::instance_update{{other.hello.instance, other.hello.address}});
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
    for (auto& [number, other] : this->members) {
        if (number != from && other.link && other.hello.place != record.place) {
            other.link->send(wire::target_update{record});
        }
    }
}

void keeper::publish() {
    if (!this->replicated_group) {
        // The state of the disk is being read; nobody listens yet.
        return;
    }
    if (this->fleet) {
        this->fleet->restored();
        return;
    }
    const wire::configuration_update news{this->state().version(), this->state().text()};
    for (auto& [number, one] : this->members) {
        if (one.link && !one.hello.instance.value().empty() &&
            one.hello.role == wire::instance_role::entry) {
            one.link->send(news);
        }
    }
}

wire::hello keeper::make_hello() const {
    wire::hello said;
    said.instance = this->params.settings.instance;
    said.incarnation = this->params.incarnation;
    said.place = this->params.settings.place;
    said.role = wire::instance_role::keeper;
    said.address = this->listener->address();
    said.in_force = this->state().version();
    return said;
}

void keeper::on(const admin::configuration_order& order) {
    const auto parsed = value_or_error(
        [&] { return configuration::deployment::parse(order.text, "configuration"); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        order.reply.post({status_bad_request, print({{"error", problem->message}})});
        return;
    }
    this->replicated_group->submit(
        replicated::accept_configuration{order.order_id, order.base, order.text, wall_now()},
        [order](const auto& result) { answer_order(order, result); });
}

void keeper::on(const admin::configuration_request& asked) {
    ordered_json body;
    body["version"] = this->state().version().value();
    body["text"] = this->state().text();
    asked.reply.post({status_ok, print(body)});
}

void keeper::on(const admin::report_request& asked) {
    ordered_json status;
    status["instance"] = this->params.settings.instance.value();
    status["configuration_version"] = this->state().version().value();
    const quorum::replica& log_state = this->replicated_group->agreement().state();
    status["leads"] = log_state.is_leader();
    status["leader"] = log_state.leader().value();
    status["term"] = log_state.term().value();
    status["committed"] = log_state.committed().value();
    status["voters"] = ordered_json::array();
    for (const quorum::member& voter : log_state.voters().voters) {
        status["voters"].push_back(voter.id.value());
    }
    status["votes_here"] = log_state.is_settled_voter();
    status["joining"] = log_state.joining_count();
    status["journal_bytes"] = this->replicated_group->agreement().journal_bytes();
    if (this->fleet) {
        status["targets"] = this->fleet->target_count();
    }
    status["instances"] = ordered_json::array();
    for (const auto& [number, one] : this->members) {
        if (one.hello.role == wire::instance_role::keeper) {
            continue;
        }
        ordered_json instance;
        instance["id"] = one.hello.instance.value();
        instance["failure_domain"] = one.hello.place.domain.value();
        instance["in_force"] = one.in_force.value();
        status["instances"].push_back(std::move(instance));
    }
    this->metrics.set("keeper_configuration_version",
                      static_cast<double>(this->state().version().value()));
    this->metrics.set("keeper_syncs",
                      static_cast<double>(this->replicated_group->agreement().sync_count()));
    this->metrics.set("keeper_journal_bytes",
                      static_cast<double>(this->replicated_group->agreement().journal_bytes()));
    this->metrics.set("keeper_instances", static_cast<double>(this->members.size()));
    admin::report said;
    said.part = "keeper";
    said.status = print(status);
    said.metrics = this->metrics.exposition();
    said.is_ready =
        !this->replicated_group->agreement().is_broken() && !log_state.leader().value().empty();
    asked.reply.post(std::move(said));
}

} // namespace kingcupcart::keeper
