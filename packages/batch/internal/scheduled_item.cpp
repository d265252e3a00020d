#include "batch/internal/scheduled_item.h"

#include <algorithm>

namespace kingcupcart::batch {

bool scheduled_item::satisfies(const job_opened& requirements) const {
    if (this->received_events == 0) {
        return true;
    }
    return this->oldest >= requirements.oldest_version &&
           (!requirements.needs_single_version || this->oldest == this->newest);
}

std::size_t scheduled_item::estimate_remaining_events(tokens per_event) const {
    const std::int64_t size = std::max<std::int64_t>(per_event.count(), 1);
    const auto expected = static_cast<std::size_t>((this->spec.output.count() + size - 1) / size);
    const std::size_t by_age = this->received_events / 2 + 1;
    return expected > this->received_events ? std::max(expected - this->received_events, by_age)
                                            : by_age;
}

void scheduled_item::record_origin() {
    this->origin = this->run_origin;
    if (std::find(this->senders.begin(), this->senders.end(), this->engine) ==
        this->senders.end()) {
        this->senders.push_back(this->engine);
    }
}

void scheduled_item::discard_events() {
    this->received_events = 0;
    this->origin = text_origin();
    this->senders.clear();
    this->oldest = weight_version();
    this->newest = weight_version();
}

} // namespace kingcupcart::batch
