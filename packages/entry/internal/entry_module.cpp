#include "entry/entry_module.h"

#include "base/incarnation.h"
#include "base/system_clock.h"
#include "entry/internal/frontend.h"
#include "entry/internal/peers.h"
#include "task/start_task.h"
#include "task/task.h"

#include <random>
#include <utility>

namespace kingcupcart::entry {

class entry_module::state {
public:
    system_clock time;
    task::task<frontend> frontend_task;
    task::task<peers> peers_task;
    endpoint callers;
    endpoint links;
};

outcome<std::unique_ptr<entry_module>>
entry_module::start(const settings::process_settings& settings) {
    auto created = std::make_unique<state>();
    const incarnation_id incarnation = new_incarnation();
    std::random_device entropy;
    // The frontend starts first, so that it is running when the peers task sends it messages.
    BOOST_LEAF_AUTO(opened_frontend, task::start_task(created->frontend_task,
                                                      {settings, incarnation, &created->time,
                                                       created->peers_task.address(), entropy()}));
    created->callers = opened_frontend->address();
    BOOST_LEAF_AUTO(opened_peers,
                    task::start_task(created->peers_task, {settings, incarnation, &created->time,
                                                           created->frontend_task.address()}));
    created->links = opened_peers->address();
    return std::unique_ptr<entry_module>(new entry_module(std::move(created)));
}

entry_module::entry_module(std::unique_ptr<state> implementation)
    : impl(std::move(implementation)) {}

entry_module::~entry_module() {
    this->impl->frontend_task.stop();
    this->impl->peers_task.stop();
}

endpoint entry_module::callers_address() const {
    return this->impl->callers;
}

endpoint entry_module::link_address() const {
    return this->impl->links;
}

task::sender<admin::report_request> entry_module::frontend_reports() const {
    return task::sender<admin::report_request>(
        [destination = this->impl->frontend_task.address()](admin::report_request request) {
            return destination.post(std::move(request));
        });
}

task::sender<admin::report_request> entry_module::peers_reports() const {
    return task::sender<admin::report_request>(
        [destination = this->impl->peers_task.address()](admin::report_request request) {
            return destination.post(std::move(request));
        });
}

void entry_module::announce_stop(time_point deadline) {
    this->impl->frontend_task.post(stop_announced{deadline});
}

void entry_module::begin_stop(time_point deadline, std::function<void()> on_drained) {
    this->impl->frontend_task.post(stop_request{deadline, std::move(on_drained)});
}

} // namespace kingcupcart::entry
