#include "keeper/internal/keeper.h"

#include "configuration/deployment.h"

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

replicated::wall_seconds wall_now() {
    return std::chrono::duration_cast<replicated::wall_seconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::string print(const ordered_json& value) {
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

} // namespace

outcome<std::unique_ptr<keeper>> keeper::open(parts made_of) {
    std::unique_ptr<keeper> made(new keeper(std::move(made_of)));
    BOOST_LEAF_CHECK(made->load_initial_configuration());
    BOOST_LEAF_ASSIGN(made->listener,
                      wire::listener::open(made->own.settings.keeper->address,
                                           [self = made.get()](GSocketConnection* connection) {
                                               self->accept(connection);
                                           }));
    return made;
}

keeper::keeper(parts made_of)
    : own(std::move(made_of)), cleaner([this] {
          this->retired.clear();
          std::erase_if(this->members, [](const auto& item) { return !item.second.link; });
      }) {}

keeper::~keeper() = default;

void keeper::handle(keeper_message incoming) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
}

outcome<void> keeper::load_initial_configuration() {
    const std::string& path = this->own.settings.keeper->initial_configuration;
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
    this->state.apply(replicated::accept_configuration{"initial", {}, text, wall_now()});
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
             this->retired.push_back(std::move(gone.link));
             this->cleaner.arm_now();
         }});
}

void keeper::receive(std::uint64_t number, wire::message said) {
    member& from = this->members.at(number);
    if (const auto* greeting = std::get_if<wire::hello>(&said)) {
        from.hello = *greeting;
        this->greet(from);
    } else if (const auto* news = std::get_if<wire::target_news>(&said)) {
        this->relay(number, news->record);
    } else if (const auto* told = std::get_if<wire::configuration_in_force>(&said)) {
        from.in_force = told->version;
    } else if (const auto* asked = std::get_if<wire::claim_asked>(&said)) {
        const auto home = std::get<replicated::claim_result>(this->state.apply(
            replicated::claim_key{asked->key, asked->home, asked->incarnation, wall_now()}));
        from.link->send(wire::claim_told{asked->claim, true, home.home, home.incarnation});
    }
}

void keeper::greet(member& joined) {
    joined.link->send(this->make_hello());
    joined.link->send(wire::configuration_news{this->state.version(), this->state.text()});
    for (const auto& [id, record] : this->targets) {
        if (record.place != joined.hello.place && !record.gone) {
            joined.link->send(wire::target_news{record});
        }
    }
    const wire::instance_news news{{joined.hello.instance, joined.hello.address}};
    for (auto& [number, other] : this->members) {
        const bool is_other = other.link && other.hello.instance != joined.hello.instance;
        if (is_other && !other.hello.instance.value().empty()) {
            other.link->send(news);
            joined.link->send(wire::instance_news{{other.hello.instance, other.hello.address}});
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
            other.link->send(wire::target_news{record});
        }
    }
}

void keeper::publish() {
    const wire::configuration_news news{this->state.version(), this->state.text()};
    for (auto& [number, one] : this->members) {
        if (one.link && !one.hello.instance.value().empty()) {
            one.link->send(news);
        }
    }
}

wire::hello keeper::make_hello() const {
    wire::hello said;
    said.instance = this->own.settings.instance;
    said.incarnation = this->own.incarnation;
    said.place = this->own.settings.place;
    said.role = wire::instance_role::keeper;
    said.address = this->listener->address();
    said.in_force = this->state.version();
    return said;
}

void keeper::on(const admin::configuration_order& order) {
    const auto parsed = value_or_error(
        [&] { return configuration::deployment::parse(order.text, "configuration"); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        order.reply.post({status_bad_request, print({{"error", problem->message}})});
        return;
    }
    const auto result = std::get<replicated::configuration_result>(this->state.apply(
        replicated::accept_configuration{order.order_id, order.base, order.text, wall_now()}));
    spdlog::info("configuration order={} base={} accepted={} version={}", order.order_id,
                 order.base.value(), result.is_accepted, result.version.value());
    ordered_json body;
    body["accepted"] = result.is_accepted;
    body["version"] = result.version.value();
    if (result.is_accepted) {
        this->publish();
    } else {
        body["error"] = "the order builds on version " + std::to_string(order.base.value()) +
                        ", but another change made version " +
                        std::to_string(result.version.value());
    }
    order.reply.post({result.is_accepted ? status_ok : status_conflict, print(body)});
}

void keeper::on(const admin::configuration_asked& asked) {
    ordered_json body;
    body["version"] = this->state.version().value();
    body["text"] = this->state.text();
    asked.reply.post({status_ok, print(body)});
}

void keeper::on(const admin::report_asked& asked) {
    ordered_json status;
    status["instance"] = this->own.settings.instance.value();
    status["configuration_version"] = this->state.version().value();
    status["instances"] = ordered_json::array();
    for (const auto& [number, one] : this->members) {
        ordered_json instance;
        instance["id"] = one.hello.instance.value();
        instance["failure_domain"] = one.hello.place.domain.value();
        instance["in_force"] = one.in_force.value();
        status["instances"].push_back(std::move(instance));
    }
    this->metrics.set("keeper_configuration_version",
                      static_cast<double>(this->state.version().value()));
    this->metrics.set("keeper_instances", static_cast<double>(this->members.size()));
    admin::report said;
    said.part = "keeper";
    said.status = print(status);
    said.metrics = this->metrics.exposition();
    said.is_ready = true;
    asked.reply.post(std::move(said));
}

} // namespace kingcupcart::keeper
