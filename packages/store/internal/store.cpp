#include "store/internal/store.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

namespace kingcupcart::store {

namespace {

constexpr duration maintenance_interval = std::chrono::milliseconds(250);

} // namespace

outcome<std::unique_ptr<store>> store::open(parameters arguments) {
    std::unique_ptr<store> created(new store(std::move(arguments)));
    BOOST_LEAF_ASSIGN(
        created->listener,
        wire::listener::open(created->params.settings.store->address,
                             [handler = created.get()](GSocketConnection* connection) {
                                 handler->accept(connection);
                             }));
    BOOST_LEAF_CHECK(created->open_group());
    created->open_fleet();
    created->open_worker();
    created->run_maintenance();
    return created;
}

store::store(parameters arguments)
    : params(std::move(arguments)),
      responses(
          std::make_shared<http::response_budget>(this->params.settings.responses.budget_bytes)),
      buffered_results([this](const batch::append_results& command) {
          this->replicated_group->submit(command, [](const auto&) {});
      }),
      maintenance_timer([this] { this->run_maintenance(); }),
      cleanup_timer([this] {
          this->pending_deletion.clear();
          std::erase_if(this->peers, [](const auto& entry) { return !entry.second.link; });
      }) {}

store::~store() = default;

outcome<void> store::open_group() {
    const settings::store_settings& store_settings = *this->params.settings.store;
    store_group::parameters arguments;
    arguments.log.local_id = instance_id(store_settings.address.to_string());
    arguments.log.folder = store_settings.data;
    arguments.log.seed = this->params.incarnation.value();
    arguments.log.time = this->params.time;
    arguments.log.desired_voters = 2 * store_settings.tolerated_losses + 1;
    arguments.incarnation = this->params.incarnation;
    arguments.greeting = [this] { return this->make_hello(); };
    BOOST_LEAF_ASSIGN(
        this->replicated_group,
        store_group::open(arguments,
                          {[this](const batch::command& command, batch::command_result result) {
                               this->command_applied(command, result);
                           },
                           [] {}, [this](bool is_leader) { this->leadership_changed(is_leader); },
                           [this](const instance_id& from, const wire::message& message) {
                               const auto* updates = std::get_if<wire::item_run_updates>(&message);
                               if (updates != nullptr && this->runner) {
                                   this->runner->handle(from, *updates);
                               }
                           },
                           [this](const instance_id& member) {
                               if (this->runner) {
                                   this->runner->worker_connected(member, this->place_of(member));
                               }
                           },
                           [this](const instance_id& member) {
                               if (this->runner) {
                                   this->runner->worker_lost(member);
                               }
                           },
                           [this] { this->fleet->send_to_all(this->make_registration()); }}));
    job_request_handler::parameters handler_arguments;
    handler_arguments.time = this->params.time;
    handler_arguments.wall = this->params.wall;
    handler_arguments.replicated_group = this->replicated_group.get();
    handler_arguments.retention =
        std::chrono::duration_cast<std::chrono::milliseconds>(store_settings.retention);
    handler_arguments.can_store_accounts = [this] { return this->can_store_accounts(); };
    handler_arguments.send = [this](std::uint64_t link, const wire::message& message) {
        const auto found = this->peers.find(link);
        if (found != this->peers.end() && found->second.link) {
            found->second.link->send(message);
        }
    };
    this->request_handler = std::make_unique<job_request_handler>(std::move(handler_arguments));
    return {};
}

void store::open_fleet() {
    fleet::keeper_client::callbacks keeper_callbacks;
    keeper_callbacks.make_hello = [this] { return this->make_hello(); };
    keeper_callbacks.routes_changed = [this] {
        if (this->runner) {
            this->runner->routes_changed();
        }
    };
    keeper_callbacks.target_changed = [this](const membership::directory_change& change) {
        if (this->runner) {
            this->runner->target_changed(change);
        }
    };
    keeper_callbacks.permits_changed = [this](const target_id& target) {
        if (this->runner) {
            this->runner->permits_changed(target);
        }
    };
    // Requests of stores have no fingerprint.
    keeper_callbacks.suspect_changed = [](const request_fingerprint&) {};
    keeper_callbacks.stores_changed = [this] { this->stores_changed(); };
    keeper_callbacks.initial_members_received =
        [this](const std::vector<quorum::member>& initial_members) {
            this->replicated_group->consensus().adopt_initial_members(initial_members);
        };
    keeper_callbacks.keeper_connected = [this](const instance_id& keeper) {
        this->send_registration(keeper);
    };
    this->fleet = std::make_unique<fleet::keeper_client>(
        *this->params.time, this->params.settings.store->fleet.seed_links(),
        this->params.parse_route_table, std::move(keeper_callbacks));
}

void store::open_worker() {
    run_worker::parameters arguments;
    arguments.time = this->params.time;
    arguments.fleet = this->fleet.get();
    arguments.protocol = this->params.protocol;
    arguments.metrics = &this->metrics;
    arguments.limits = this->params.settings.responses;
    arguments.send = [this](std::uint64_t link, const wire::message& message) {
        const auto found = this->peers.find(link);
        if (found != this->peers.end() && found->second.link) {
            found->second.link->send(message);
        }
    };
    arguments.budget = this->responses;
    this->worker = std::make_unique<run_worker>(std::move(arguments));
}

bool store::can_store_accounts() const {
    return std::none_of(this->peers.begin(), this->peers.end(), [](const auto& entry) {
        const auto& [link, hello] = entry.second;
        return link && hello.role == wire::instance_role::store &&
               hello.revision < wire::accounts_revision;
    });
}

location store::place_of(const instance_id& member) const {
    for (const auto& [number, connected_peer] : this->peers) {
        if (connected_peer.hello.role == wire::instance_role::store &&
            connected_peer.hello.address.to_string() == member.value()) {
            return connected_peer.hello.place;
        }
    }
    return {};
}

void store::send_registration(const instance_id& keeper) {
    if (!this->replicated_group->consensus().is_suspended()) {
        this->fleet->send(keeper, this->make_registration());
    }
}

wire::store_registration store::make_registration() const {
    const group::replicated_log& log = this->replicated_group->consensus();
    wire::store_registration registration;
    registration.disk = log.local_disk().value();
    registration.may_bootstrap = this->params.settings.store->is_first_start && log.was_empty() &&
                                 log.state().voters().voters.empty();
    return registration;
}

void store::stores_changed() {
    std::set<instance_id> leaving;
    for (const wire::store_address& known_store : this->fleet->stores()) {
        const instance_id id(known_store.address.to_string());
        this->replicated_group->add_member(id, known_store.address);
        if (known_store.is_leaving) {
            leaving.insert(id);
        }
    }
    this->replicated_group->consensus().set_leaving(std::move(leaving));
}

void store::accept(GSocketConnection* connection) {
    const std::uint64_t number = ++this->last_peer_number;
    this->peers[number].link = wire::peer_link::accept(
        connection,
        {[] {}, [this, number](const wire::message& message) { this->receive(number, message); },
         [this, number](const std::string& reason) {
             peer& lost = this->peers.at(number);
             spdlog::info("link lost instance={} reason=\"{}\"", lost.hello.instance.value(),
                          reason);
             this->pending_deletion.push_back(std::move(lost.link));
             this->cleanup_timer.arm_now();
             this->worker->link_lost(number);
         }});
}

void store::receive(std::uint64_t number, const wire::message& incoming) {
    peer& sender = this->peers.at(number);
    if (this->replicated_group->receive(incoming) ||
        this->request_handler->handle(number, incoming) || this->worker->handle(number, incoming)) {
        return;
    }
    if (const auto* hello = std::get_if<wire::hello>(&incoming)) {
        sender.hello = *hello;
        const instance_id member(hello->address.to_string());
        if (hello->role == wire::instance_role::store) {
            this->replicated_group->members().reconnect(member);
        }
        if (this->runner && hello->role == wire::instance_role::store &&
            this->replicated_group->members().is_open(member)) {
            this->runner->worker_connected(member, hello->place);
        }
        sender.link->send(this->make_hello());
        sender.link->send(this->make_leader_update());
    }
}

wire::hello store::make_hello() const {
    wire::hello hello;
    hello.instance = this->params.settings.instance;
    hello.incarnation = this->params.incarnation;
    hello.place = this->params.settings.place;
    hello.role = wire::instance_role::store;
    hello.revision = wire::protocol_revision;
    hello.address = this->params.settings.store->address;
    return hello;
}

endpoint store::leader_address() const {
    const instance_id& leader = this->replicated_group->consensus().state().leader();
    if (leader.value().empty()) {
        return {};
    }
    const auto parsed = value_or_error([&] { return parse_endpoint(leader.value()); });
    const auto* address = std::get_if<endpoint>(&parsed);
    return address == nullptr ? endpoint{} : *address;
}

wire::leader_update store::make_leader_update() const {
    return {this->leader_address(), this->replicated_group->consensus().state().term()};
}

void store::broadcast_leader() {
    const wire::leader_update update = this->make_leader_update();
    if (update == this->announced_leader) {
        return;
    }
    this->announced_leader = update;
    for (auto& [number, connected_peer] : this->peers) {
        if (connected_peer.link && connected_peer.hello.role == wire::instance_role::gateway) {
            connected_peer.link->send(update);
        }
    }
}

void store::leadership_changed(bool is_leader) {
    this->request_handler->set_serving(false);
    this->runner.reset();
    if (is_leader) {
        // Once this command is committed, all that earlier leaders committed has been applied here.
        this->replicated_group->submit(batch::read_barrier{}, [this](const auto& result) {
            if (result && this->replicated_group->is_leader()) {
                this->start_serving();
            }
        });
    }
    this->broadcast_leader();
}

void store::start_serving() {
    spdlog::info("serving batch jobs jobs={}", this->replicated_group->state().jobs().size());
    item_runner::parameters arguments;
    arguments.max_local_runs = this->params.settings.store->local_runs;
    arguments.place = this->params.settings.place;
    arguments.seed = this->params.incarnation.value();
    arguments.time = this->params.time;
    arguments.wall = this->params.wall;
    arguments.fleet = this->fleet.get();
    arguments.state_machine = &this->replicated_group->state();
    arguments.protocol = this->params.protocol;
    arguments.metrics = &this->metrics;
    arguments.limits = this->params.settings.responses;
    arguments.on_result = [this](const job_id& job, batch::item_result result) {
        this->buffered_results.add(job, std::move(result));
    };
    arguments.send_to_store = [this](const instance_id& member, const wire::message& message) {
        return this->replicated_group->members().send(member, message);
    };
    arguments.budget = this->responses;
    this->runner = std::make_unique<item_runner>(std::move(arguments));
    for (const instance_id& member : this->replicated_group->members().ids()) {
        if (this->replicated_group->members().is_open(member)) {
            this->runner->worker_connected(member, this->place_of(member));
        }
    }
    this->request_handler->set_serving(true);
}

void store::command_applied(const batch::command& command, batch::command_result result) {
    if (!this->request_handler || result != batch::command_result::done) {
        return;
    }
    if (const auto* submission = std::get_if<batch::submit_job>(&command)) {
        if (this->runner) {
            this->runner->open(*this->replicated_group->state().find(submission->content.id));
        }
        // Engines whose weights are too old for the job have to load newer ones soon.
        this->send_report();
    } else if (const auto* append_results = std::get_if<batch::append_results>(&command)) {
        if (this->runner) {
            this->runner->record_results(*append_results);
        }
        this->request_handler->job_changed(append_results->job);
    } else if (const auto* end_job = std::get_if<batch::end_job>(&command)) {
        if (this->runner) {
            this->runner->close(end_job->job);
        }
        this->request_handler->job_changed(end_job->job);
    }
}

void store::send_report() {
    const quorum::replica& replica = this->replicated_group->consensus().state();
    if (!replica.is_leader()) {
        return;
    }
    wire::store_report report;
    report.is_leader = true;
    report.term = replica.term().value();
    report.standbys = replica.standby_count();
    if (replica.is_membership_committed()) {
        for (const quorum::member& voter : replica.voters().voters) {
            report.voters.push_back(voter.id);
        }
    }
    for (const auto& [id, record] : this->replicated_group->state().jobs()) {
        if (!record.is_ended && !record.content.model.value().empty()) {
            membership::merge_weights(report.required_weights,
                                      {record.content.model, record.content.oldest_version});
        }
    }
    this->fleet->send_to_all(report);
}

void store::send_demand() {
    if (!this->runner || !this->replicated_group->is_leader()) {
        return;
    }
    wire::model_demand_report report;
    report.term = this->replicated_group->consensus().state().term().value();
    for (const batch::step_demand& measured : this->runner->demand()) {
        wire::model_demand demand;
        demand.service = measured.service;
        demand.model = measured.model;
        demand.tokens_per_second = static_cast<std::uint64_t>(measured.work.count());
        demand.largest_step_items = measured.largest_step_items;
        demand.waiting_items = this->runner->waiting_count(measured.model);
        demand.expected_lateness =
            std::chrono::duration_cast<std::chrono::milliseconds>(measured.expected_lateness);
        demand.steps_in_flight = measured.steps_in_flight;
        report.models.push_back(std::move(demand));
    }
    if (!report.models.empty()) {
        this->fleet->send_to_revision(1, report);
    }
}

void store::run_maintenance() {
    this->broadcast_leader();
    this->send_report();
    this->send_demand();
    this->maintenance_timer.arm(this->params.time->now() + maintenance_interval);
}

void store::handle(message incoming) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
}

void store::on(const settings::seeds_changed& changed) {
    this->fleet->add_seeds(changed.links);
}

void store::on(const group::stop_started& started) {
    this->replicated_group->hand_over(started.on_drained);
}

void store::on(const admin::report_request& request) {
    nlohmann::ordered_json status;
    const quorum::replica& replica = this->replicated_group->consensus().state();
    status["instance"] = this->params.settings.instance.value();
    status["leads"] = replica.is_leader();
    status["leader"] = replica.leader().value();
    status["term"] = replica.term().value();
    status["jobs"] = this->replicated_group->state().jobs().size();
    status["running"] = this->runner ? this->runner->running_count() : 0;
    status["waiting"] = this->runner ? this->runner->waiting_count() : 0;
    status["carried_out"] = this->worker->running_count();
    status["unscored"] = this->runner ? this->runner->unscored_count() : 0;
    this->metrics.set("store_jobs",
                      static_cast<double>(this->replicated_group->state().jobs().size()));
    this->metrics.set("store_journal_bytes",
                      static_cast<double>(this->replicated_group->consensus().journal_bytes()));
    const group::replicated_log& log = this->replicated_group->consensus();
    if (const auto losses = replica.bearable_losses(this->params.time->now())) {
        status["bearable_losses"] = *losses;
        this->metrics.set("store_bearable_losses", *losses);
    }
    this->metrics.set("store_voters", static_cast<double>(replica.voters().voters.size()));
    this->metrics.set("store_standbys", static_cast<double>(replica.standby_count()));
    this->metrics.set("store_incoming_snapshot_bytes",
                      static_cast<double>(replica.incoming_snapshot_bytes()));
    this->metrics.set("store_log_suspended", log.is_suspended() ? 1 : 0);
    this->metrics.set("store_log_suspensions", static_cast<double>(log.suspension_count()));
    this->fleet->limits().export_metrics(this->metrics);
    this->responses->export_metrics(this->metrics);
    admin::report report;
    report.component = "store";
    report.status = status.dump() + "\n";
    report.metrics = this->metrics.exposition();
    report.is_ready = !log.is_suspended() && !replica.leader().value().empty();
    request.reply.post(std::move(report));
}

} // namespace kingcupcart::store
