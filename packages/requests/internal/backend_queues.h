#pragma once

#include "admission/drain_rate.h"
#include "admission/fair_queue.h"
#include "admission/work_class.h"
#include "base/ids.h"

#include <optional>
#include <vector>

namespace kingcupcart::requests {

/// The queued requests of one backend, in one queue per work class, short work first. While
/// the backend's targets are of several software versions, requests that need one of them wait in
/// queues of their own, so that they hold up no others; these come before the other ones of their
/// urgency, which have more targets to choose from.
class backend_queues {
public:
    struct class_queue {
        work_class_name name;
        urgency kind = urgency::short_work;
        /// Empty if any version may serve the requests.
        std::optional<software_version> software;
        admission::fair_queue waiting;
        admission::drain_rate drain;
    };

    /// Returns the queue of the class and version. Creates it on first use, ahead of the queues of
    /// longer work.
    [[nodiscard]] class_queue& queue_for(const admission::work_class& work,
                                         const std::optional<software_version>& software);
    [[nodiscard]] bool is_waiting(const work_class_name& work,
                                  const std::optional<software_version>& software) const;
    [[nodiscard]] std::vector<class_queue>& by_urgency() { return this->queues; }
    [[nodiscard]] std::size_t size() const;
    void remove(request_id request);
    /// Deletes the empty queues of versions, which come and go.
    void delete_unused();

private:
    std::vector<class_queue> queues;
};

} // namespace kingcupcart::requests
