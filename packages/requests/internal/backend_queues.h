#pragma once

#include "admission/drain_rate.h"
#include "admission/fair_queue.h"
#include "admission/work_class.h"
#include "base/ids.h"

#include <vector>

namespace kingcupcart::requests {

/// The queued requests of one backend, in one queue per work class, short work first.
class backend_queues {
public:
    struct class_queue {
        work_class_name name;
        urgency kind = urgency::short_work;
        admission::fair_queue waiting;
        admission::drain_rate drain;
    };

    /// Returns the queue of the class. Creates it on first use, ahead of the queues of longer work.
    [[nodiscard]] class_queue& queue_for(const admission::work_class& work);
    [[nodiscard]] std::vector<class_queue>& by_urgency() { return this->queues; }
    [[nodiscard]] std::size_t size() const;
    void remove(request_id request);

private:
    std::vector<class_queue> queues;
};

} // namespace kingcupcart::requests
