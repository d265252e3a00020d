#include "store/internal/store.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <set>
#include <utility>

namespace kingcupcart::store {

namespace {

constexpr duration tend_interval = std::chrono::milliseconds(250);

} // namespace

outcome<std::unique_ptr<store>> store::open(parts made_of) {
    std::unique_ptr<store> made(new store(std::move(made_of)));
    BOOST_LEAF_ASSIGN(made->listener,
                      wire::listener::open(made->own.settings.store->address,
                                           [self = made.get()](GSocketConnection* connection) {
                                               self->accept(connection);
                                           }));
    BOOST_LEAF_CHECK(made->open_group());
    made->open_fleet();
    made->tend();
    return made;
}

store::store(parts made_of)
    : own(std::move(made_of)),
      ended_items([this](const batch::list_results& listed) {
          this->colleagues->submit(listed, [](const auto&) {});
      }),
      tending([this] { this->tend(); }),
      cleaner([this] {
          this->retired.clear();
          std::erase_if(this->neighbours, [](const auto& item) { return !item.second.link; });
      }) {}

store::~store() = default;

outcome<void> store::open_group() {
    const settings::store_settings& kept = *this->own.settings.store;
    store_group::parts made_of;
    made_of.log.self = instance_id(kept.address.to_string());
    made_of.log.folder = kept.data;
    made_of.log.seed = this->own.incarnation.value();
    made_of.log.time = this->own.time;
    made_of.log.voters_wanted = 2 * kept.tolerated_losses + 1;
    made_of.incarnation = this->own.incarnation;
    made_of.greeting = [this] { return this->make_hello(); };
    BOOST_LEAF_ASSIGN(
        this->colleagues,
        store_group::open(made_of,
                          {[this](const batch::command& command, batch::command_result result) {
                               this->applied(command, result);
                           },
                           [] {}, [this](bool is_leader) { this->leadership_changed(is_leader); },
                           [](const wire::message&) {}, [](const instance_id&) {}}));
    job_desk::parts desk_parts;
    desk_parts.time = this->own.time;
    desk_parts.wall = this->own.wall;
    desk_parts.colleagues = this->colleagues.get();
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
    told.founders_told = [this](const std::vector<quorum::member>& founders) {
        this->colleagues->agreement().adopt_founders(founders);
    };
    told.opened = [this](const instance_id& keeper) { this->present_to(keeper); };
    this->fleet = std::make_unique<fleet::keeper_client>(
        *this->own.time, this->own.settings.store->fleet.seed_links(), this->own.read_table,
        std::move(told));
}

void store::present_to(const instance_id& keeper) {
    const group::replicated_log& log = this->colleagues->agreement();
    wire::store_presented said;
    said.disk = log.disk_name().value();
    said.may_found = this->own.settings.store->is_first_start && log.was_empty() &&
                     log.state().voters().voters.empty();
    this->fleet->send(keeper, said);
}

void store::stores_changed() {
    std::set<instance_id> leaving;
    for (const wire::store_address& one : this->fleet->stores()) {
        const instance_id id(one.address.to_string());
        this->colleagues->add_member(id, one.address);
        if (one.is_leaving) {
            leaving.insert(id);
        }
    }
    this->colleagues->agreement().set_leaving(std::move(leaving));
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
             this->cleaner.arm_now();
         }});
}

void store::receive(std::uint64_t number, const wire::message& said) {
    neighbour& from = this->neighbours.at(number);
    if (this->colleagues->receive(said) || this->desk->handle(number, said)) {
        return;
    }
    if (const auto* hello = std::get_if<wire::hello>(&said)) {
        from.hello = *hello;
        from.link->send(this->make_hello());
        from.link->send(wire::leader_news{this->leader_address()});
    }
}

wire::hello store::make_hello() const {
    wire::hello said;
    said.instance = this->own.settings.instance;
    said.incarnation = this->own.incarnation;
    said.place = this->own.settings.place;
    said.role = wire::instance_role::store;
    said.address = this->own.settings.store->address;
    return said;
}

endpoint store::leader_address() const {
    const instance_id& leader = this->colleagues->agreement().state().leader();
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
            one.link->send(wire::leader_news{leader});
        }
    }
}

void store::leadership_changed(bool is_leader) {
    this->desk->set_serving(false);
    this->runner.reset();
    if (is_leader) {
        // What an earlier leader had agreed is known here once this is.
        this->colleagues->submit(batch::confirm_state{}, [this](const auto& result) {
            if (result && this->colleagues->is_leader()) {
                this->begin_serving();
            }
        });
    }
    this->spread_leader();
}

void store::begin_serving() {
    spdlog::info("batch jobs are served jobs={}", this->colleagues->state().jobs().size());
    item_runner::parts made_of;
    made_of.time = this->own.time;
    made_of.wall = this->own.wall;
    made_of.fleet = this->fleet.get();
    made_of.book = &this->colleagues->state();
    made_of.port = this->own.port;
    made_of.metrics = &this->metrics;
    made_of.ended = [this](const job_id& job, batch::item_result result) {
        this->ended_items.add(job, std::move(result));
    };
    this->runner = std::make_unique<item_runner>(std::move(made_of));
    this->desk->set_serving(true);
}

void store::applied(const batch::command& command, batch::command_result result) {
    if (!this->desk || result != batch::command_result::done) {
        return;
    }
    if (const auto* submitted = std::get_if<batch::submit_job>(&command)) {
        if (this->runner) {
            this->runner->open(*this->colleagues->state().find(submitted->content.id));
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
    const quorum::replica& agreed = this->colleagues->agreement().state();
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
    for (const auto& [id, record] : this->colleagues->state().jobs()) {
        if (!record.is_ended && !record.content.model.value().empty()) {
            membership::raise_weights(said.oldest_needed,
                                      {record.content.model, record.content.oldest_version});
        }
    }
    this->fleet->send_to_all(said);
}

void store::tend() {
    this->spread_leader();
    this->report();
    this->tending.arm(this->own.time->now() + tend_interval);
}

void store::handle(message incoming) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
}

void store::on(const settings::seeds_changed& changed) {
    this->fleet->add_seeds(changed.links);
}

void store::on(const admin::report_asked& asked) {
    nlohmann::ordered_json status;
    const quorum::replica& agreed = this->colleagues->agreement().state();
    status["instance"] = this->own.settings.instance.value();
    status["leads"] = agreed.is_leader();
    status["leader"] = agreed.leader().value();
    status["term"] = agreed.term().value();
    status["jobs"] = this->colleagues->state().jobs().size();
    status["running"] = this->runner ? this->runner->running_count() : 0;
    status["waiting"] = this->runner ? this->runner->waiting_count() : 0;
    this->metrics.set("store_jobs", static_cast<double>(this->colleagues->state().jobs().size()));
    this->metrics.set("store_journal_bytes",
                      static_cast<double>(this->colleagues->agreement().journal_bytes()));
    admin::report said;
    said.part = "store";
    said.status = status.dump() + "\n";
    said.metrics = this->metrics.exposition();
    said.is_ready = !this->colleagues->agreement().is_broken() && !agreed.leader().value().empty();
    asked.reply.post(std::move(said));
}

} // namespace kingcupcart::store
