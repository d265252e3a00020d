#include "store/internal/store.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <set>
#include <utility>

namespace kingcupcart::store {

namespace {

constexpr duration tend_interval = std::chrono::milliseconds(250);

} // namespace

outcome<std::unique_ptr<store>> store::open(parameters arguments) {
    std::unique_ptr<store> made(new store(std::move(arguments)));
    BOOST_LEAF_ASSIGN(made->listener,
                      wire::listener::open(made->params.settings.store->address,
                                           [self = made.get()](GSocketConnection* connection) {
                                               self->accept(connection);
                                           }));
    BOOST_LEAF_CHECK(made->open_group());
    made->open_fleet();
    made->run_maintenance();
    return made;
}

store::store(parameters arguments)
    : params(std::move(arguments)),
      ended_items([this](const batch::list_results& listed) {
          this->replicated_group->submit(listed, [](const auto&) {});
      }),
      maintenance_timer([this] { this->run_maintenance(); }),
      cleanup_timer([this] {
          this->retired.clear();
          std::erase_if(this->neighbours, [](const auto& item) { return !item.second.link; });
      }) {}

store::~store() = default;

outcome<void> store::open_group() {
    const settings::store_settings& kept = *this->params.settings.store;
    store_group::parameters arguments;
    arguments.log.self = instance_id(kept.address.to_string());
    arguments.log.folder = kept.data;
    arguments.log.seed = this->params.incarnation.value();
    arguments.log.time = this->params.time;
    arguments.log.voters_wanted = 2 * kept.tolerated_losses + 1;
    arguments.incarnation = this->params.incarnation;
    arguments.greeting = [this] { return this->make_hello(); };
    BOOST_LEAF_ASSIGN(
        this->replicated_group,
        store_group::open(arguments,
                          {[this](const batch::command& command, batch::command_result result) {
                               this->applied(command, result);
                           },
                           [] {}, [this](bool is_leader) { this->leadership_changed(is_leader); },
                           [](const wire::message&) {}, [](const instance_id&) {}}));
    job_desk::parameters desk_parts;
    desk_parts.time = this->params.time;
    desk_parts.wall = this->params.wall;
    desk_parts.replicated_group = this->replicated_group.get();
    desk_parts.retention = std::chrono::duration_cast<std::chrono::milliseconds>(kept.retention);
    desk_parts.send = [this](std::uint64_t link, const wire::message& said) {
        const auto found = this->neighbours.find(link);
        if (found != this->neighbours.end() && found->second.link) {
            found->second.link->send(said);
        }
    };
    this->desk = std::make_unique<job_desk>(std::move(desk_parts));
    return {};
}

void store::open_fleet() {
    fleet::keeper_client::callbacks told;
    told.greeting = [this] { return this->make_hello(); };
    told.routes_changed = [this] {
        if (this->runner) {
            this->runner->routes_changed();
        }
    };
    told.target_changed = [this](const membership::directory_change& change) {
        if (this->runner) {
            this->runner->target_changed(change);
        }
    };
    told.stores_changed = [this] { this->stores_changed(); };
    told.founders_told = [this](const std::vector<quorum::member>& initial_members) {
        this->replicated_group->agreement().adopt_initial_members(initial_members);
    };
    told.opened = [this](const instance_id& keeper) { this->present_to(keeper); };
    this->fleet = std::make_unique<fleet::keeper_client>(
        *this->params.time, this->params.settings.store->fleet.seed_links(),
        this->params.read_table, std::move(told));
}

void store::present_to(const instance_id& keeper) {
    const group::replicated_log& log = this->replicated_group->agreement();
    wire::store_registration said;
    said.disk = log.disk_name().value();
    said.may_bootstrap = this->params.settings.store->is_first_start && log.was_empty() &&
                         log.state().voters().voters.empty();
    this->fleet->send(keeper, said);
}

void store::stores_changed() {
    std::set<instance_id> leaving;
    for (const wire::store_address& one : this->fleet->stores()) {
        const instance_id id(one.address.to_string());
        this->replicated_group->add_member(id, one.address);
        if (one.is_leaving) {
            leaving.insert(id);
        }
    }
    this->replicated_group->agreement().set_leaving(std::move(leaving));
}

void store::accept(GSocketConnection* connection) {
    const std::uint64_t number = ++this->last_neighbour;
    this->neighbours[number].link = wire::peer_link::accept(
        connection,
        {[] {}, [this, number](const wire::message& said) { this->receive(number, said); },
         [this, number](const std::string& reason) {
             neighbour& gone = this->neighbours.at(number);
             spdlog::info("link lost instance={} reason=\"{}\"", gone.hello.instance.value(),
                          reason);
             this->retired.push_back(std::move(gone.link));
             this->cleanup_timer.arm_now();
         }});
}

void store::receive(std::uint64_t number, const wire::message& said) {
    neighbour& from = this->neighbours.at(number);
    if (this->replicated_group->receive(said) || this->desk->handle(number, said)) {
        return;
    }
    if (const auto* hello = std::get_if<wire::hello>(&said)) {
        from.hello = *hello;
        from.link->send(this->make_hello());
        from.link->send(wire::leader_update{this->leader_address()});
    }
}

wire::hello store::make_hello() const {
    wire::hello said;
    said.instance = this->params.settings.instance;
    said.incarnation = this->params.incarnation;
    said.place = this->params.settings.place;
    said.role = wire::instance_role::store;
    said.address = this->params.settings.store->address;
    return said;
}

endpoint store::leader_address() const {
    const instance_id& leader = this->replicated_group->agreement().state().leader();
    if (leader.value().empty()) {
        return {};
    }
    const auto parsed = value_or_error([&] { return parse_endpoint(leader.value()); });
    const auto* address = std::get_if<endpoint>(&parsed);
    return address == nullptr ? endpoint{} : *address;
}

void store::spread_leader() {
    const endpoint leader = this->leader_address();
    if (leader == this->told_leader) {
        return;
    }
    this->told_leader = leader;
    for (auto& [number, one] : this->neighbours) {
        if (one.link && one.hello.role == wire::instance_role::gateway) {
            one.link->send(wire::leader_update{leader});
        }
    }
}

void store::leadership_changed(bool is_leader) {
    this->desk->set_serving(false);
    this->runner.reset();
    if (is_leader) {
        // What an earlier leader had agreed is known here once this is.
        this->replicated_group->submit(batch::confirm_state{}, [this](const auto& result) {
            if (result && this->replicated_group->is_leader()) {
                this->begin_serving();
            }
        });
    }
    this->spread_leader();
}

void store::begin_serving() {
    spdlog::info("batch jobs are served jobs={}", this->replicated_group->state().jobs().size());
    item_runner::parameters arguments;
    arguments.time = this->params.time;
    arguments.wall = this->params.wall;
    arguments.fleet = this->fleet.get();
    arguments.book = &this->replicated_group->state();
    arguments.port = this->params.port;
    arguments.metrics = &this->metrics;
    arguments.ended = [this](const job_id& job, batch::item_result result) {
        this->ended_items.add(job, std::move(result));
    };
    this->runner = std::make_unique<item_runner>(std::move(arguments));
    this->desk->set_serving(true);
}

void store::applied(const batch::command& command, batch::command_result result) {
    if (!this->desk || result != batch::command_result::done) {
        return;
    }
    if (const auto* submitted = std::get_if<batch::submit_job>(&command)) {
        if (this->runner) {
            this->runner->open(*this->replicated_group->state().find(submitted->content.id));
        }
        // Engines with weights that are too old for it have to load soon.
        this->report();
    } else if (const auto* listed = std::get_if<batch::list_results>(&command)) {
        this->desk->job_changed(listed->job);
    } else if (const auto* ended = std::get_if<batch::end_job>(&command)) {
        if (this->runner) {
            this->runner->close(ended->job);
        }
        this->desk->job_changed(ended->job);
    }
}

void store::report() {
    const quorum::replica& agreed = this->replicated_group->agreement().state();
    if (!agreed.is_leader()) {
        return;
    }
    wire::store_report said;
    said.leads = true;
    said.term = agreed.term().value();
    said.standbys = agreed.standby_count();
    if (agreed.is_membership_agreed()) {
        for (const quorum::member& voter : agreed.voters().voters) {
            said.voters.push_back(voter.id);
        }
    }
    for (const auto& [id, record] : this->replicated_group->state().jobs()) {
        if (!record.is_ended && !record.content.model.value().empty()) {
            membership::raise_weights(said.oldest_needed,
                                      {record.content.model, record.content.oldest_version});
        }
    }
    this->fleet->send_to_all(said);
}

void store::run_maintenance() {
    this->spread_leader();
    this->report();
    this->maintenance_timer.arm(this->params.time->now() + tend_interval);
}

void store::handle(message incoming) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
}

void store::on(const settings::seeds_changed& changed) {
    this->fleet->add_seeds(changed.links);
}

void store::on(const admin::report_request& asked) {
    nlohmann::ordered_json status;
    const quorum::replica& agreed = this->replicated_group->agreement().state();
    status["instance"] = this->params.settings.instance.value();
    status["leads"] = agreed.is_leader();
    status["leader"] = agreed.leader().value();
    status["term"] = agreed.term().value();
    status["jobs"] = this->replicated_group->state().jobs().size();
    status["running"] = this->runner ? this->runner->running_count() : 0;
    status["waiting"] = this->runner ? this->runner->waiting_count() : 0;
    this->metrics.set("store_jobs",
                      static_cast<double>(this->replicated_group->state().jobs().size()));
    this->metrics.set("store_journal_bytes",
                      static_cast<double>(this->replicated_group->agreement().journal_bytes()));
    admin::report said;
    said.part = "store";
    said.status = status.dump() + "\n";
    said.metrics = this->metrics.exposition();
    said.is_ready =
        !this->replicated_group->agreement().is_broken() && !agreed.leader().value().empty();
    asked.reply.post(std::move(said));
}

} // namespace kingcupcart::store
