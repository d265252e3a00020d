#include "task/timer.h"

#include "task/internal/timer_queue.h"

#include <utility>

namespace kingcupcart::task {

timer::timer(std::function<void()> callback)
    : queue(timer_queue::current()),
      callback(std::make_shared<std::function<void()>>(std::move(callback))),
      number(this->queue->next_number()) {}

timer::~timer() {
    this->disarm();
}

void timer::arm(time_point time) {
    this->disarm();
    this->due = time;
    this->is_armed = true;
    this->queue->add(*this);
}

void timer::disarm() {
    if (std::exchange(this->is_armed, false)) {
        this->queue->remove(*this);
    }
}

} // namespace kingcupcart::task
