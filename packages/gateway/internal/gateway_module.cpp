#include "gateway/gateway_module.h"

#include "base/incarnation.h"
#include "base/system_clock.h"
#include "gateway/internal/gateway.h"
#include "task/start_task.h"
#include "task/task.h"

#include <random>
#include <utility>

namespace kingcupcart::gateway {

class gateway_module::state {
public:
    system_clock time;
    task::task<gateway> gateway_task;
};

outcome<std::unique_ptr<gateway_module>> gateway_module::start(const parameters& arguments) {
    auto created = std::make_unique<state>();
    std::random_device entropy;
    BOOST_LEAF_CHECK(
        task::start_task(created->gateway_task,
                         {arguments.settings, new_incarnation(), &created->time, entropy(),
                          arguments.parse_route_table, arguments.callers, arguments.targets}));
    return std::unique_ptr<gateway_module>(new gateway_module(std::move(created)));
}

gateway_module::gateway_module(std::unique_ptr<state> created) : impl(std::move(created)) {}

gateway_module::~gateway_module() {
    this->impl->gateway_task.stop();
}

task::sender<admin::report_request> gateway_module::reports() const {
    return task::sender<admin::report_request>(
        [address = this->impl->gateway_task.address()](admin::report_request request) {
            return address.post(std::move(request));
        });
}

void gateway_module::announce_stop(time_point deadline) {
    this->impl->gateway_task.post(stop_announced{deadline});
}

void gateway_module::begin_stop(time_point deadline, std::function<void()> on_drained) {
    this->impl->gateway_task.post(stop_started{deadline, std::move(on_drained)});
}

void gateway_module::change_seeds(settings::seeds_changed changed) {
    this->impl->gateway_task.post(std::move(changed));
}

} // namespace kingcupcart::gateway
