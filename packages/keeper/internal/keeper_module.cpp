#include "keeper/keeper_module.h"

#include "base/incarnation.h"
#include "base/system_clock.h"
#include "keeper/internal/keeper.h"
#include "task/start_task.h"
#include "task/task.h"

#include <utility>

namespace kingcupcart::keeper {

class keeper_module::implementation {
public:
    /// Sender of one of the message types that the keeper task handles.
    template <typename Message>
    [[nodiscard]] task::sender<Message> sender_of() const {
        return task::sender<Message>([to = this->keeper_task.address()](Message message) {
            return to.post(std::move(message));
        });
    }

    system_clock time;
    task::task<keeper> keeper_task;
    endpoint links;
};

outcome<std::unique_ptr<keeper_module>>
keeper_module::start(const settings::process_settings& settings,
                     const external_protocol& protocol) {
    auto created = std::make_unique<implementation>();
    BOOST_LEAF_AUTO(running, task::start_task(created->keeper_task, {settings, new_incarnation(),
                                                                     &created->time, protocol}));
    created->links = running->address();
    return std::unique_ptr<keeper_module>(new keeper_module(std::move(created)));
}

keeper_module::keeper_module(std::unique_ptr<implementation> impl) : impl(std::move(impl)) {}

keeper_module::~keeper_module() {
    this->impl->keeper_task.stop();
}

endpoint keeper_module::link_address() const {
    return this->impl->links;
}

task::sender<admin::report_request> keeper_module::reports() const {
    return this->impl->sender_of<admin::report_request>();
}

task::sender<admin::configuration_order> keeper_module::orders() const {
    return this->impl->sender_of<admin::configuration_order>();
}

task::sender<control_call> keeper_module::control() const {
    return this->impl->sender_of<control_call>();
}

task::sender<admin::configuration_request> keeper_module::configurations() const {
    return this->impl->sender_of<admin::configuration_request>();
}

void keeper_module::begin_stop(std::function<void()> on_drained) {
    this->impl->keeper_task.post(group::stop_started{std::move(on_drained)});
}

void keeper_module::change_seeds(settings::seeds_changed changed) {
    this->impl->keeper_task.post(std::move(changed));
}

} // namespace kingcupcart::keeper
