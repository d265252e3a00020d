#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "model/engine_speed.h"
#include "model/event_queue.h"
#include "model/stream_callbacks.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace kingcupcart::model {

/// A model engine in virtual time: it batches continuously, admits requests as they come, knows no
/// priorities, slows down as the batch grows and by its neighbours' load.
class engine {
public:
    engine(event_queue& events, engine_speed speed) : events(events), speed(speed) {}

    void add(attempt_id attempt, std::int64_t tokens, stream_callbacks notify);
    void cancel(attempt_id attempt);
    /// From now on everything takes this many times as long.
    void set_slowness(double factor) { this->slowness = factor; }
    /// All streams break off without a word.
    void crash();

    [[nodiscard]] int running() const { return static_cast<int>(this->batch.size()); }
    [[nodiscard]] int waiting() const { return static_cast<int>(this->queue.size()); }
    [[nodiscard]] std::int64_t tokens_produced() const { return this->produced; }

private:
    struct stream {
        std::int64_t remaining = 0;
        stream_callbacks notify;
    };
    struct queued {
        attempt_id attempt;
        stream content;
    };

    void begin_step();
    void end_step();

    event_queue& events;
    engine_speed speed;
    double slowness = 1;
    bool is_stepping = false;
    std::uint64_t generation = 0;
    std::int64_t produced = 0;
    std::map<attempt_id, stream> batch;
    std::deque<queued> queue;
};

} // namespace kingcupcart::model
