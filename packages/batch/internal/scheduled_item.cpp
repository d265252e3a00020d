#include "batch/internal/scheduled_item.h"

#include <algorithm>

namespace kingcupcart::batch {

bool scheduled_item::fits(const job_opened& wanted) const {
    if (this->events == 0) {
        return true;
    }
    return this->oldest >= wanted.oldest_version &&
           (!wanted.needs_single_version || this->oldest == this->newest);
}

std::size_t scheduled_item::events_left(tokens per_event) const {
    const std::int64_t size = std::max<std::int64_t>(per_event.count(), 1);
    const auto expected = static_cast<std::size_t>((this->facts.output.count() + size - 1) / size);
    return expected > this->events ? expected - this->events : 1;
}

void scheduled_item::forget_events() {
    this->events = 0;
    this->oldest = weight_version();
    this->newest = weight_version();
}

} // namespace kingcupcart::batch
