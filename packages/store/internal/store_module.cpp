#include "store/store_module.h"

#include "base/incarnation.h"
#include "base/system_clock.h"
#include "base/system_wall_clock.h"
#include "group/stop_started.h"
#include "store/internal/store.h"
#include "task/start_task.h"
#include "task/task.h"

#include <utility>

namespace kingcupcart::store {

class store_module::state {
public:
    system_clock time;
    system_wall_clock wall;
    task::task<store> store_task;
};

outcome<std::unique_ptr<store_module>> store_module::start(const parameters& arguments) {
    auto created = std::make_unique<state>();
    BOOST_LEAF_CHECK(task::start_task(
        created->store_task, {arguments.settings, new_incarnation(), &created->time, &created->wall,
                              arguments.parse_route_table, arguments.protocol}));
    return std::unique_ptr<store_module>(new store_module(std::move(created)));
}

store_module::store_module(std::unique_ptr<state> created) : impl(std::move(created)) {}

store_module::~store_module() {
    this->impl->store_task.stop();
}

task::sender<admin::report_request> store_module::reports() const {
    return task::sender<admin::report_request>(
        [address = this->impl->store_task.address()](admin::report_request request) {
            return address.post(std::move(request));
        });
}

void store_module::begin_stop(std::function<void()> on_drained) {
    this->impl->store_task.post(group::stop_started{std::move(on_drained)});
}

void store_module::change_seeds(settings::seeds_changed changed) {
    this->impl->store_task.post(std::move(changed));
}

} // namespace kingcupcart::store
