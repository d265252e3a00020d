#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "model/attempt_callbacks.h"
#include "model/engine_speed.h"
#include "model/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace kingcupcart::model {

/// A simulated inference engine in virtual time. It uses continuous batching and admits requests in
/// order of arrival, without priorities. A decoding step takes longer the more streams the batch
/// holds, and is multiplied by the slowdown factor, which models the load of other programs on the
/// same hardware.
class engine {
public:
    engine(event_queue& events, engine_speed speed) : events(events), speed(speed) {}

    void add(attempt_id attempt, std::int64_t tokens, attempt_callbacks callbacks);
    void cancel(attempt_id attempt);
    /// Steps that start from now on take `factor` times as long.
    void set_slowdown_factor(double factor) { this->slowdown_factor = factor; }
    /// Drops all streams without calling their callbacks.
    void crash();

    [[nodiscard]] int running() const { return static_cast<int>(this->batch.size()); }
    [[nodiscard]] int waiting() const { return static_cast<int>(this->queue.size()); }
    [[nodiscard]] std::int64_t tokens_produced() const { return this->tokens_generated; }

private:
    struct stream {
        std::int64_t remaining = 0;
        attempt_callbacks callbacks;
    };
    struct queued_stream {
        attempt_id attempt;
        stream content;
    };

    void start_step();
    void complete_step();

    event_queue& events;
    engine_speed speed;
    double slowdown_factor = 1;
    bool is_step_running = false;
    /// Incremented by a crash, so that the event that ends the interrupted step is ignored.
    std::uint64_t generation = 0;
    std::int64_t tokens_generated = 0;
    std::map<attempt_id, stream> batch;
    std::deque<queued_stream> queue;
};

} // namespace kingcupcart::model
