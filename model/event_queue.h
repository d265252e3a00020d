#pragma once

#include "base/manual_clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace kingcupcart::model {

/// Discrete events of a simulation in virtual time, ordered by due time. Events that are due at the
/// same time run in the order in which they were scheduled.
class event_queue {
public:
    void schedule_at(time_point due_time, std::function<void()> callback) {
        this->events.push(event{due_time, ++this->last_sequence, std::move(callback)});
    }
    void schedule_after(duration delay, std::function<void()> callback) {
        this->schedule_at(this->clock.now() + delay, std::move(callback));
    }

    [[nodiscard]] time_point now() const { return this->clock.now(); }

    /// Runs all events that are due up to and including `end`, and advances the clock to `end`.
    void run_until(time_point end) {
        while (!this->events.empty() && this->events.top().due_time <= end) {
            // Removes the event before running it, since its callback may schedule others.
            const event next = std::move(const_cast<event&>(this->events.top()));
            this->events.pop();
            this->clock.advance_to(next.due_time);
            next.callback();
        }
        this->clock.advance_to(end);
    }

private:
    struct event {
        time_point due_time;
        std::uint64_t sequence = 0;
        std::function<void()> callback;

        friend bool operator>(const event& a, const event& b) {
            return a.due_time != b.due_time ? a.due_time > b.due_time : a.sequence > b.sequence;
        }
    };

    manual_clock clock;
    std::uint64_t last_sequence = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
};

} // namespace kingcupcart::model
