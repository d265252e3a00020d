#include "requests/internal/backend_queues.h"

#include <algorithm>

namespace kingcupcart::requests {

backend_queues::class_queue& backend_queues::of_class(const admission::work_class& work) {
    const auto known = std::find_if(this->queues.begin(), this->queues.end(),
                                    [&](const auto& queue) { return queue.name == work.name; });
    if (known != this->queues.end()) {
        known->waiting.set_limit(work.queue_limit);
        return *known;
    }
    const auto place = std::find_if(this->queues.begin(), this->queues.end(),
                                    [&](const auto& queue) { return queue.kind > work.kind; });
    return *this->queues.insert(
        place, class_queue{work.name, work.kind, admission::fair_queue(work.queue_limit), {}});
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
