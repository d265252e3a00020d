#include "fleet/keeper_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::fleet {

namespace {

/// Targets live here until a keeper says that they are gone.
constexpr duration no_lease = std::chrono::hours(24 * 365);

instance_id name_of(const endpoint& address) {
    return instance_id(address.to_string());
}

} // namespace

keeper_client::keeper_client(const clock& time, const std::vector<endpoint>& seeds,
                             routes::table_reader read_table, callbacks notify)
    : read_table(read_table),
      notify(std::move(notify)),
      directory(location{}),
      time(time),
      links(time, {this->notify.greeting,
                   [this](const instance_id& keeper) {
                       spdlog::info("keeper reached keeper={}", keeper.value());
                       this->notify.opened(keeper);
                   },
                   [this](const instance_id& from, const wire::message& said) {
                       this->received(from, said);
                   },
                   [this](const instance_id& keeper) {
                       spdlog::warn("keeper lost keeper={} reached={}", keeper.value(),
                                    this->links.open_count());
                   }}) {
    this->add_seeds(seeds);
}

void keeper_client::add_seeds(const std::vector<endpoint>& seeds) {
    for (const endpoint& seed : seeds) {
        this->links.add(name_of(seed), seed);
    }
}

bool keeper_client::has_confirmed_routes() const {
    return this->table != nullptr && this->confirmed_by.size() >= this->keepers_needed;
}

void keeper_client::received(const instance_id& from, const wire::message& said) {
    if (const auto* routes = std::get_if<wire::routes_update>(&said)) {
        this->learn_routes(from, *routes);
    } else if (const auto* target = std::get_if<wire::target_update>(&said)) {
        const auto change = this->directory.learn(target->record, no_lease, this->time.now());
        if (change.is_news()) {
            const membership::target_record& record = change.record;
            spdlog::info(
                "target {} target={} backend={} incarnation={} sequence={} leaving={} from={}",
                membership::to_string(change.event), record.id.value(), record.backend.value(),
                record.incarnation.value(), record.sequence, record.leaving, from.value());
            this->notify.target_changed(change);
        }
    } else if (const auto* fleet = std::get_if<wire::fleet_update>(&said)) {
        this->learn_fleet(*fleet);
    } else if (const auto* initial_members = std::get_if<wire::initial_members_update>(&said)) {
        this->notify.founders_told(initial_members->initial_members);
    }
}

void keeper_client::learn_routes(const instance_id& from, const wire::routes_update& news) {
    this->confirmed_by.insert(from);
    const bool is_newer = this->table == nullptr || news.version > this->table->version;
    if (news.version == configuration_version(0) || !is_newer ||
        news.version == this->refused_version) {
        return;
    }
    auto read = value_or_error([&] { return this->read_table(news.document); });
    if (const auto* problem = std::get_if<error>(&read)) {
        this->refused_version = news.version;
        spdlog::error("routes can't be used version={} from={} error=\"{}\"", news.version.value(),
                      from.value(), problem->message);
        return;
    }
    this->table =
        std::make_shared<const routes::route_table>(std::get<routes::route_table>(std::move(read)));
    spdlog::info("routes in force version={} routes={} from={}", news.version.value(),
                 this->table->routes.size(), from.value());
    this->notify.routes_changed();
}

void keeper_client::learn_fleet(const wire::fleet_update& news) {
    this->keepers_needed = std::max<std::size_t>(1, news.keepers_needed);
    for (const wire::instance_address& keeper : news.keepers) {
        this->links.add(name_of(keeper.address), keeper.address);
    }
    if (news.stores != this->all_stores) {
        this->all_stores = news.stores;
        this->notify.stores_changed();
    }
}

} // namespace kingcupcart::fleet
