#include "model/engine.h"

#include <utility>
#include <vector>

namespace kingcupcart::model {

void engine::add(attempt_id attempt, std::int64_t tokens, stream_callbacks notify) {
    this->queue.push_back({attempt, {tokens, std::move(notify)}});
    if (!this->is_stepping) {
        this->begin_step();
    }
}

void engine::cancel(attempt_id attempt) {
    this->batch.erase(attempt);
    std::erase_if(this->queue, [&](const queued& one) { return one.attempt == attempt; });
}

void engine::crash() {
    this->batch.clear();
    this->queue.clear();
    this->is_stepping = false;
    ++this->generation;
}

void engine::begin_step() {
    int admitted = 0;
    while (!this->queue.empty() && this->running() < this->speed.batch_max) {
        queued next = std::move(this->queue.front());
        this->queue.pop_front();
        this->batch.emplace(next.attempt, std::move(next.content));
        ++admitted;
    }
    if (this->batch.empty()) {
        this->is_stepping = false;
        return;
    }
    this->is_stepping = true;
    const double growth = 1 + this->speed.slope * (this->running() - 1);
    const double step = static_cast<double>(this->speed.step.count()) * growth;
    const double prefill = static_cast<double>(this->speed.prefill.count()) * admitted;
    const auto length = static_cast<duration::rep>((step + prefill) * this->slowness);
    this->events.after(duration(length), [this, current = this->generation] {
        if (current == this->generation) {
            this->end_step();
        }
    });
}

void engine::end_step() {
    std::vector<stream_callbacks> ended;
    std::vector<std::function<void()>> tokens;
    for (auto item = this->batch.begin(); item != this->batch.end();) {
        stream& current = item->second;
        ++this->produced;
        --current.remaining;
        tokens.push_back(current.notify.token);
        if (current.remaining <= 0) {
            ended.push_back(std::move(current.notify));
            item = this->batch.erase(item);
        } else {
            ++item;
        }
    }
    for (const auto& token : tokens) {
        token();
    }
    for (const stream_callbacks& notify : ended) {
        notify.end();
    }
    this->begin_step();
}

} // namespace kingcupcart::model
