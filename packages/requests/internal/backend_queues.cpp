#include "requests/internal/backend_queues.h"

#include <algorithm>

namespace kingcupcart::requests {

backend_queues::class_queue&
backend_queues::queue_for(const admission::work_class& work,
                          const std::optional<software_version>& software) {
    const auto found =
        std::find_if(this->queues.begin(), this->queues.end(), [&](const auto& queue) {
            return queue.name == work.name && queue.software == software;
        });
    if (found != this->queues.end()) {
        found->waiting.set_limit(work.queue_limit);
        return *found;
    }
    const auto position =
        std::find_if(this->queues.begin(), this->queues.end(), [&](const auto& queue) {
            return queue.kind > work.kind || (software && queue.kind == work.kind);
        });
    return *this->queues.insert(
        position,
        class_queue{work.name, work.kind, software, admission::fair_queue(work.queue_limit), {}});
}

bool backend_queues::is_waiting(const work_class_name& work,
                                const std::optional<software_version>& software) const {
    return std::any_of(this->queues.begin(), this->queues.end(), [&](const class_queue& queue) {
        return queue.name == work && queue.software == software && !queue.waiting.empty();
    });
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

void backend_queues::delete_unused() {
    std::erase_if(this->queues,
                  [](const class_queue& queue) { return queue.software && queue.waiting.empty(); });
}

} // namespace kingcupcart::requests
