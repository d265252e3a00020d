#include "requests/internal/backend_queues.h"

#include <algorithm>

namespace kingcupcart::requests {

backend_queues::class_queue& backend_queues::queue_for(const admission::work_class& work) {
    const auto found = std::find_if(this->queues.begin(), this->queues.end(),
                                    [&](const auto& queue) { return queue.name == work.name; });
    if (found != this->queues.end()) {
        found->waiting.set_limit(work.queue_limit);
        return *found;
    }
    const auto position = std::find_if(this->queues.begin(), this->queues.end(),
                                       [&](const auto& queue) { return queue.kind > work.kind; });
    return *this->queues.insert(
        position, class_queue{work.name, work.kind, admission::fair_queue(work.queue_limit), {}});
}

std::size_t backend_queues::size() const {
    std::size_t count = 0;
    for (const class_queue& queue : this->queues) {
        count += queue.waiting.size();
    }
    return count;
}

void backend_queues::remove(request_id request) {
    for (class_queue& queue : this->queues) {
        if (queue.waiting.remove(request)) {
            return;
        }
    }
}

} // namespace kingcupcart::requests
