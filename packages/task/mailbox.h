#pragma once

#include "task/wakeup.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace kingcupcart::task {

/// The typed, bounded way into a task. Any thread may post; the messages are handled in their order
/// on the loop of the thread that made the mailbox.
template <typename Message>
class mailbox {
public:
    mailbox(std::size_t limit, std::function<void(Message)> handler)
        : limit(limit), handler(std::move(handler)), wake([this] { this->deliver(); }) {}

    /// False where the mailbox is full or closed; the message is then dropped and counted, and the
    /// sender decides what that means.
    bool post(Message message) {
        {
            const std::lock_guard guard(this->mutex);
            if (this->closed || this->waiting.size() >= this->limit) {
                ++this->dropped_count;
                return false;
            }
            this->waiting.push_back(std::move(message));
        }
        this->wake.arm_now();
        return true;
    }

    /// Refuses all further messages.
    void close() {
        const std::lock_guard guard(this->mutex);
        this->closed = true;
        this->waiting.clear();
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
            batch.swap(this->waiting);
        }
        for (Message& message : batch) {
            this->handler(std::move(message));
        }
    }

    std::size_t limit;
    std::function<void(Message)> handler;
    mutable std::mutex mutex;
    std::deque<Message> waiting;
    std::size_t dropped_count = 0;
    bool closed = false;
    wakeup wake;
};

} // namespace kingcupcart::task
