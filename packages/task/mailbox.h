#pragma once

#include "task/wakeup.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace kingcupcart::task {

/// A bounded, typed message queue into a task. Any thread may post; the messages are handled in
/// order on the event loop of the thread that created the mailbox.
template <typename Message>
class mailbox {
public:
    mailbox(std::size_t limit, std::function<void(Message)> handler)
        : limit(limit), handler(std::move(handler)), delivery([this] { this->deliver(); }) {}

    /// Returns false if the mailbox is full or closed. The message is then dropped and counted,
    /// and the sender decides how to react.
    bool post(Message message) {
        {
            const std::lock_guard guard(this->mutex);
            if (this->closed || this->queue.size() >= this->limit) {
                ++this->dropped_count;
                return false;
            }
            this->queue.push_back(std::move(message));
        }
        this->delivery.arm_now();
        return true;
    }

    /// Drops the messages that are queued, and rejects all further ones.
    void close() {
        const std::lock_guard guard(this->mutex);
        this->closed = true;
        this->queue.clear();
    }

    [[nodiscard]] std::size_t dropped() const {
        const std::lock_guard guard(this->mutex);
        return this->dropped_count;
    }

private:
    void deliver() {
        std::deque<Message> batch;
        {
            const std::lock_guard guard(this->mutex);
            batch.swap(this->queue);
        }
        for (Message& message : batch) {
            this->handler(std::move(message));
        }
    }

    std::size_t limit;
    std::function<void(Message)> handler;
    mutable std::mutex mutex;
    std::deque<Message> queue;
    std::size_t dropped_count = 0;
    bool closed = false;
    wakeup delivery;
};

} // namespace kingcupcart::task
