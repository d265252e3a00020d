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

bool scheduled_item::has_unconfirmed_events_of(const target_id& id) const {
    const bool is_sending = this->is_running() && this->has_event_in_run && this->engine == id;
    return is_sending ||
           std::find(this->unconfirmed_engines.begin(), this->unconfirmed_engines.end(), id) !=
               this->unconfirmed_engines.end();
}

void scheduled_item::record_origin() {
    this->origin = this->run_origin;
    if (this->is_run_unconfirmed) {
        this->unconfirmed_engines.push_back(this->engine);
        this->is_run_unconfirmed = false;
    }
}

void scheduled_item::discard_events() {
    this->received_events = 0;
    this->origin = text_origin();
    this->unconfirmed_engines.clear();
    this->oldest = weight_version();
    this->newest = weight_version();
}

} // namespace kingcupcart::batch
