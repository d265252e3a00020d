#include "scaling/step_demand.h"

#include <algorithm>
#include <cmath>

namespace kingcupcart::scaling {

void step_demand::record(const std::vector<model_load>& models, const scaler_limits& limits,
                         time_point now) {
    std::int64_t slots = 0;
    this->waiting_slots = slot_count();
    this->latest_lateness = duration::zero();
    this->latest_report = now;
    for (const model_load& model : models) {
        const std::int64_t usual = model.largest_step.count() * limits.steps_in_flight;
        // More items than those of the usual steps wait while a trainer is behind.
        const std::int64_t slots_at_once = std::max(usual, model.waiting.count());
        const double margin = model.lateness > duration::zero() ? 1 + limits.late_margin : 1;
        const auto needed = static_cast<double>(slots_at_once) * margin;
        slots += static_cast<std::int64_t>(std::ceil(needed));
        this->waiting_slots += model.waiting;
        this->latest_lateness = std::max(this->latest_lateness, model.lateness);
    }
    if (slots == 0 && this->needs.empty()) {
        return;
    }
    while (!this->needs.empty() && this->needs.back().slots.count() <= slots) {
        this->needs.pop_back();
    }
    this->needs.push_back({slot_count(slots), now});
    while (this->needs.front().at + limits.hold_time < now) {
        this->needs.pop_front();
    }
}

slot_count step_demand::needed_slots() const {
    return this->needs.empty() ? slot_count() : this->needs.front().slots;
}

} // namespace kingcupcart::scaling
