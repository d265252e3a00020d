#include "routing/target_health.h"

#include "routing/router_limits.h"

#include <algorithm>

namespace kingcupcart::routing {

void target_health::observe(double multiple, double weight) {
    this->average_multiple += (multiple - this->average_multiple) * weight;
}

void target_health::reset_average() {
    this->average_multiple = 1;
}

void target_health::eject(time_point now, const router_limits& limits) {
    const duration doubled = this->last_ejection * 2;
    this->last_ejection = std::clamp(doubled, limits.ejection_time, limits.max_ejection_time);
    this->ejected_until = now + this->last_ejection;
    this->current = state::ejected;
}

bool target_health::is_probe_due(time_point now) const {
    return this->current == state::ejected && now >= this->ejected_until;
}

void target_health::start_probe() {
    this->current = state::probing;
}

void target_health::pass_probe() {
    this->current = state::in_use;
    this->last_ejection = duration{};
    this->reset_average();
}

} // namespace kingcupcart::routing
