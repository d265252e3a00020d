#include "daemon/daemon.h"

#include "admin/admin_server.h"
#include "entry/entry_module.h"
#include "gateway/gateway_module.h"
#include "keeper/keeper_module.h"
#include "store/store_module.h"
#include "task/task.h"

#include <atomic>
#include <utility>

namespace kingcupcart::daemon {

class daemon::state {
public:
    std::unique_ptr<keeper::keeper_module> keeper;
    std::unique_ptr<running_component> control;
    std::unique_ptr<store::store_module> store;
    std::unique_ptr<gateway::gateway_module> gateway;
    std::unique_ptr<entry::entry_module> entry;
    task::task<admin::admin_server> admin_task;
    endpoint admin_address;

    outcome<void> start_control(const settings::process_settings& settings,
                                const external_protocols& protocols) {
        const auto& control = settings.keeper->control;
        if (control) {
            BOOST_LEAF_ASSIGN(this->control,
                              protocols.start_control(control->address, this->keeper->control()));
        }
        return {};
    }

    outcome<void> start_admin(const endpoint& address) {
        admin::admin_sources sources;
        if (this->entry) {
            sources.reports.push_back(this->entry->frontend_reports());
            sources.reports.push_back(this->entry->peers_reports());
        }
        if (this->gateway) {
            sources.reports.push_back(this->gateway->reports());
        }
        if (this->store) {
            sources.reports.push_back(this->store->reports());
        }
        if (this->keeper) {
            sources.reports.push_back(this->keeper->reports());
            sources.orders = this->keeper->orders();
            sources.configurations = this->keeper->configurations();
        }
        error problem;
        const bool is_running = this->admin_task.start([&] {
            auto opened = value_or_error([&] {
                return admin::admin_server::open(address, sources, this->admin_task.address());
            });
            if (auto* failure = std::get_if<error>(&opened)) {
                problem = *failure;
                return std::unique_ptr<admin::admin_server>();
            }
            auto server = std::move(std::get<std::unique_ptr<admin::admin_server>>(opened));
            this->admin_address = server->address();
            return server;
        });
        if (!is_running) {
            return fail(problem.code, problem.message);
        }
        return {};
    }
};

outcome<std::unique_ptr<daemon>> daemon::start(const settings::process_settings& settings,
                                               const external_protocols& protocols) {
    auto created = std::make_unique<state>();
    if (settings.keeper) {
        BOOST_LEAF_ASSIGN(created->keeper, keeper::keeper_module::start(
                                               settings, {protocols.parse_route_table,
                                                          protocols.targets, protocols.platform}));
        BOOST_LEAF_CHECK(created->start_control(settings, protocols));
    }
    if (settings.store) {
        BOOST_LEAF_ASSIGN(
            created->store,
            store::store_module::start({settings, protocols.parse_route_table, protocols.targets}));
    }
    if (settings.gateway) {
        BOOST_LEAF_ASSIGN(created->gateway,
                          gateway::gateway_module::start({settings, protocols.parse_route_table,
                                                          protocols.callers, protocols.targets}));
    }
    if (settings.entry) {
        settings::process_settings with_local_keeper = settings;
        if (created->keeper && with_local_keeper.entry->keepers.empty()) {
            with_local_keeper.entry->keepers.push_back(created->keeper->link_address());
        }
        BOOST_LEAF_ASSIGN(created->entry, entry::entry_module::start(with_local_keeper));
    }
    BOOST_LEAF_CHECK(created->start_admin(settings.admin));
    return std::unique_ptr<daemon>(new daemon(std::move(created)));
}

daemon::daemon(std::unique_ptr<state> created) : impl(std::move(created)) {}

daemon::~daemon() {
    this->impl->admin_task.stop();
}

void daemon::apply(const settings::process_settings& changed) {
    if (this->impl->gateway && changed.gateway) {
        this->impl->gateway->change_seeds({changed.gateway->fleet.seed_links()});
    }
    if (this->impl->store && changed.store) {
        this->impl->store->change_seeds({changed.store->fleet.seed_links()});
    }
    if (this->impl->keeper && changed.keeper && changed.keeper->control) {
        this->impl->keeper->change_seeds({changed.keeper->control->fleet.seed_links()});
    }
}

void daemon::announce_stop(time_point deadline) {
    this->impl->admin_task.post(admin::admin_server::stop_started{});
    if (this->impl->gateway) {
        this->impl->gateway->announce_stop(deadline);
    }
    if (this->impl->entry) {
        this->impl->entry->announce_stop(deadline);
    }
}

void daemon::begin_stop(time_point deadline, const std::function<void()>& drained) {
    const int roles = (this->impl->entry ? 1 : 0) + (this->impl->gateway ? 1 : 0) +
                      (this->impl->store ? 1 : 0) + (this->impl->keeper ? 1 : 0);
    if (roles == 0) {
        drained();
        return;
    }
    const auto open_roles = std::make_shared<std::atomic<int>>(roles);
    const auto role_drained = [open_roles, drained] {
        if (--*open_roles == 0) {
            drained();
        }
    };
    if (this->impl->entry) {
        this->impl->entry->begin_stop(deadline, role_drained);
    }
    if (this->impl->gateway) {
        this->impl->gateway->begin_stop(deadline, role_drained);
    }
    if (this->impl->store) {
        this->impl->store->begin_stop(role_drained);
    }
    if (this->impl->keeper) {
        this->impl->keeper->begin_stop(role_drained);
    }
}

endpoint daemon::admin_address() const {
    return this->impl->admin_address;
}

std::optional<endpoint> daemon::callers_address() const {
    return this->impl->entry ? std::optional(this->impl->entry->callers_address()) : std::nullopt;
}

std::optional<endpoint> daemon::entry_link_address() const {
    return this->impl->entry ? std::optional(this->impl->entry->link_address()) : std::nullopt;
}

std::optional<endpoint> daemon::keeper_link_address() const {
    return this->impl->keeper ? std::optional(this->impl->keeper->link_address()) : std::nullopt;
}

std::string daemon::ready_line() const {
    std::string line = "ready";
    if (const auto callers = this->callers_address()) {
        line += " callers=" + callers->to_string();
    }
    if (const auto links = this->entry_link_address()) {
        line += " entry=" + links->to_string();
    }
    if (const auto links = this->keeper_link_address()) {
        line += " keeper=" + links->to_string();
    }
    return line + " admin=" + this->admin_address().to_string();
}

} // namespace kingcupcart::daemon
