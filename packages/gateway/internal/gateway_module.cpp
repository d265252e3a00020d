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
    auto made = std::make_unique<state>();
    std::random_device entropy;
    BOOST_LEAF_CHECK(task::start_task(
        made->gateway_task, {arguments.settings, new_incarnation(), &made->time, entropy(),
                             arguments.read_table, arguments.callers, arguments.targets}));
    return std::unique_ptr<gateway_module>(new gateway_module(std::move(made)));
}

gateway_module::gateway_module(std::unique_ptr<state> made) : self(std::move(made)) {}

gateway_module::~gateway_module() {
    this->self->gateway_task.stop();
}

task::sender<admin::report_request> gateway_module::reports() const {
    return task::sender<admin::report_request>(
        [to = this->self->gateway_task.address()](admin::report_request asked) {
            return to.post(std::move(asked));
        });
}

void gateway_module::announce_stop() {
    this->self->gateway_task.post(stop_announced{});
}

void gateway_module::begin_stop(std::function<void()> drained) {
    this->self->gateway_task.post(stop_started{std::move(drained)});
}

void gateway_module::change_seeds(settings::seeds_changed changed) {
    this->self->gateway_task.post(std::move(changed));
}

} // namespace kingcupcart::gateway
