#pragma once

#include <functional>
#include <utility>

namespace kingcupcart::task {

/// The sending end of another task's mailbox.
template <typename Message>
class sender {
public:
    sender() = default;
    explicit sender(std::function<bool(Message)> post) : function(std::move(post)) {}

    /// False where the mailbox is full or its task has ended.
    bool post(Message message) const {
        return this->function && this->function(std::move(message));
    }

private:
    std::function<bool(Message)> function;
};

} // namespace kingcupcart::task
