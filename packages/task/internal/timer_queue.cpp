#include "task/internal/timer_queue.h"

#include "task/timer.h"

#include <glib.h>

#include <chrono>
#include <functional>

namespace kingcupcart::task {

std::shared_ptr<timer_queue> timer_queue::current() {
    thread_local std::map<GMainContext*, std::weak_ptr<timer_queue>> queues;
    GMainContext* context = g_main_context_get_thread_default();
    std::shared_ptr<timer_queue> queue = queues[context].lock();
    if (queue == nullptr) {
        queue = std::make_shared<timer_queue>();
        queues[context] = queue;
    }
    return queue;
}

timer_queue::timer_queue() : next_due([this] { this->call_due_timers(); }) {}

void timer_queue::add(timer& armed) {
    this->timers.emplace(std::pair(armed.due, armed.number), &armed);
    this->arm_wakeup();
}

void timer_queue::remove(const timer& armed) {
    this->timers.erase({armed.due, armed.number});
}

void timer_queue::call_due_timers() {
    // A callback may destroy the last timer, and with it the last other owner of this queue.
    const std::shared_ptr<timer_queue> self = this->shared_from_this();
    const time_point now = std::chrono::steady_clock::now();
    while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
        timer& due = *this->timers.begin()->second;
        due.disarm();
        // The callback may destroy the timer.
        const std::shared_ptr<std::function<void()>> callback = due.callback;
        (*callback)();
    }
    this->arm_wakeup();
}

void timer_queue::arm_wakeup() {
    if (!this->timers.empty()) {
        this->next_due.arm(this->timers.begin()->first.first);
    }
}

} // namespace kingcupcart::task
