#include "duties/duty_lease.h"

#include <algorithm>

namespace kingcupcart::duties {

void duty_lease::leadership_changed(bool leads, const duty_time& time) {
    this->observe(time);
    this->is_leader = leads;
    this->term.reset();
    this->begin = time.now + this->settings.lease + this->settings.margin;
}

std::optional<fencing_token> duty_lease::authority(const log_leadership& leadership,
                                                   const duty_time& time) {
    this->observe(time);
    if (!this->is_leader || !leadership.is_sure) {
        return std::nullopt;
    }
    if (this->term != leadership.term) {
        // Leadership that was lost and regained between two reports is one of a new term, and
        // another member may have led in between.
        if (this->term) {
            this->begin = time.now + this->settings.lease + this->settings.margin;
        }
        this->term = leadership.term;
    }
    if (time.now < this->begin || time.now < this->confirmed_from) {
        return std::nullopt;
    }
    return leadership.term;
}

std::optional<time_point> duty_lease::begins_at() const {
    return this->is_leader ? std::optional(std::max(this->begin, this->confirmed_from))
                           : std::nullopt;
}

void duty_lease::observe(const duty_time& time) {
    const duration passed = time.suspended - this->suspended;
    if (passed > this->settings.suspension_tolerance) {
        this->confirmed_from = time.now + this->settings.confirmation;
    }
    // The clocks are read one after the other, so that the total may also seem to shrink.
    if (passed > this->settings.suspension_tolerance || passed < duration::zero()) {
        this->suspended = time.suspended;
    }
}

} // namespace kingcupcart::duties
