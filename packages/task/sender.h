#pragma once

#include <functional>
#include <utility>

namespace kingcupcart::task {

/// Posts messages to another task's mailbox.
template <typename Message>
class sender {
public:
    sender() = default;
    explicit sender(std::function<bool(Message)> post) : function(std::move(post)) {}

    /// Returns false if the mailbox is full, its task has ended, or the sender is empty.
    bool post(Message message) const {
        return this->function && this->function(std::move(message));
    }

private:
    std::function<bool(Message)> function;
};

} // namespace kingcupcart::task
