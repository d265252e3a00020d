#include "entry/entry_module.h"

#include "base/incarnation.h"
#include "base/system_clock.h"
#include "entry/internal/front.h"
#include "entry/internal/peers.h"
#include "task/start_task.h"
#include "task/task.h"

#include <random>
#include <utility>

namespace kingcupcart::entry {

class entry_module::state {
public:
    system_clock time;
    task::task<front> front_task;
    task::task<peers> peers_task;
    endpoint callers;
    endpoint links;
};

outcome<std::unique_ptr<entry_module>>
entry_module::start(const settings::process_settings& settings) {
    auto made = std::make_unique<state>();
    const incarnation_id incarnation = new_incarnation();
    std::random_device entropy;
    // The front comes first, so that nothing from peers meets a task that is not there.
    BOOST_LEAF_AUTO(front_made,
                    task::start_task(made->front_task, {settings, incarnation, &made->time,
                                                        made->peers_task.address(), entropy()}));
    made->callers = front_made->address();
    BOOST_LEAF_AUTO(peers_made,
                    task::start_task(made->peers_task, {settings, incarnation, &made->time,
                                                        made->front_task.address()}));
    made->links = peers_made->address();
    return std::unique_ptr<entry_module>(new entry_module(std::move(made)));
}

entry_module::entry_module(std::unique_ptr<state> made) : self(std::move(made)) {}

entry_module::~entry_module() {
    this->self->front_task.stop();
    this->self->peers_task.stop();
}

endpoint entry_module::callers_address() const {
    return this->self->callers;
}

endpoint entry_module::link_address() const {
    return this->self->links;
}

task::sender<admin::report_request> entry_module::front_reports() const {
    return task::sender<admin::report_request>(
        [to = this->self->front_task.address()](admin::report_request asked) {
            return to.post(std::move(asked));
        });
}

task::sender<admin::report_request> entry_module::peers_reports() const {
    return task::sender<admin::report_request>(
        [to = this->self->peers_task.address()](admin::report_request asked) {
            return to.post(std::move(asked));
        });
}

void entry_module::begin_stop(std::function<void()> drained) {
    this->self->front_task.post(stop_request{std::move(drained)});
}

} // namespace kingcupcart::entry
