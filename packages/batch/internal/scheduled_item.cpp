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
    const std::size_t by_age = this->events / 2 + 1;
    return expected > this->events ? std::max(expected - this->events, by_age) : by_age;
}

void scheduled_item::forget_events() {
    this->events = 0;
    this->oldest = weight_version();
    this->newest = weight_version();
}

} // namespace kingcupcart::batch
