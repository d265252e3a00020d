#include "model/engine.h"

#include <utility>
#include <vector>

namespace kingcupcart::model {

void engine::add(attempt_id attempt, std::int64_t tokens, attempt_callbacks callbacks) {
    this->queue.push_back({attempt, {tokens, std::move(callbacks)}});
    if (!this->is_step_running) {
        this->start_step();
    }
}

void engine::cancel(attempt_id attempt) {
    this->batch.erase(attempt);
    std::erase_if(this->queue,
                  [&](const queued_stream& candidate) { return candidate.attempt == attempt; });
}

void engine::crash() {
    this->batch.clear();
    this->queue.clear();
    this->is_step_running = false;
    ++this->generation;
}

void engine::start_step() {
    int admitted_count = 0;
    while (!this->queue.empty() && this->running() < this->speed.max_batch_size) {
        queued_stream admitted_stream = std::move(this->queue.front());
        this->queue.pop_front();
        this->batch.emplace(admitted_stream.attempt, std::move(admitted_stream.content));
        ++admitted_count;
    }
    if (this->batch.empty()) {
        this->is_step_running = false;
        return;
    }
    this->is_step_running = true;
    const double batch_slowdown = 1 + this->speed.slowdown_per_stream * (this->running() - 1);
    const double decode_time =
        static_cast<double>(this->speed.decode_step.count()) * batch_slowdown;
    const double prefill_time =
        static_cast<double>(this->speed.prefill_time.count()) * admitted_count;
    const auto step_duration =
        static_cast<duration::rep>((decode_time + prefill_time) * this->slowdown_factor);
    this->events.schedule_after(duration(step_duration),
                                [this, expected_generation = this->generation] {
                                    if (expected_generation == this->generation) {
                                        this->complete_step();
                                    }
                                });
}

void engine::complete_step() {
    std::vector<attempt_callbacks> completed;
    std::vector<std::function<void()>> token_callbacks;
    for (auto entry = this->batch.begin(); entry != this->batch.end();) {
        stream& current = entry->second;
        ++this->tokens_generated;
        --current.remaining;
        token_callbacks.push_back(current.callbacks.on_token);
        if (current.remaining <= 0) {
            completed.push_back(std::move(current.callbacks));
            entry = this->batch.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const auto& on_token : token_callbacks) {
        on_token();
    }
    for (const attempt_callbacks& callbacks : completed) {
        callbacks.on_complete();
    }
    this->start_step();
}

} // namespace kingcupcart::model
