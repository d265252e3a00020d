#include "http/internal/client_state.h"

#include "http/internal/pending_call.h"

#include <utility>

namespace kingcupcart::http {

client::shared_state::shared_state(const clock& time, const parameters& settings)
    : time(time),
      limits(settings.limits),
      open_timeout(settings.open_timeout),
      silence_limit(settings.silence_limit),
      budget(settings.budget ? settings.budget
                             : std::make_shared<response_budget>(settings.limits.budget_bytes)),
      idle_connections(time),
      coalescer(settings.read_interval > duration::zero()
                    ? std::make_shared<read_coalescer>(settings.read_interval)
                    : nullptr),
      start_timer([this] { this->start_waiting(); }) {}

void client::shared_state::start_later(std::shared_ptr<call::state> waiting) {
    this->waiting_calls.push_back(std::move(waiting));
    this->start_timer.arm_now();
}

void client::shared_state::start_waiting() {
    for (const std::shared_ptr<call::state>& waiting : std::exchange(this->waiting_calls, {})) {
        waiting->start();
    }
}

void client::shared_state::add_open(const std::shared_ptr<call::state>& opened) {
    this->open_calls.insert(opened);
}

void client::shared_state::remove_open(const std::shared_ptr<call::state>& ended) {
    this->open_calls.erase(ended);
}

void client::shared_state::close() {
    this->waiting_calls.clear();
    this->start_timer.disarm();
    for (const std::shared_ptr<call::state>& opened : std::exchange(this->open_calls, {})) {
        opened->abort();
    }
}

} // namespace kingcupcart::http
