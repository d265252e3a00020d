#pragma once

#include "base/clock.h"
#include "routing/distance.h"
#include "routing/target_health.h"
#include "routing/target_profile.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace kingcupcart::routing {

/// Everything the router keeps of one target.
struct target_state {
    target_profile profile;
    distance where = distance::own_domain;
    /// Orders the pool alike on every instance, so that all pack long work on the same targets.
    std::uint64_t rank = 0;
    target_health health;
    int short_running = 0;
    int long_running = 0;
    /// Requests of other instances, from the target's last report.
    int others = 0;
    /// Sending times of the attempts that have no output yet, oldest first.
    std::vector<time_point> waiting;

    [[nodiscard]] int running() const { return this->short_running + this->long_running; }
    [[nodiscard]] int load() const { return this->running() + this->others; }
    [[nodiscard]] bool has_room() const { return this->load() < this->profile.slots; }

    void stop_waiting(time_point sent) {
        const auto found = std::find(this->waiting.begin(), this->waiting.end(), sent);
        if (found != this->waiting.end()) {
            this->waiting.erase(found);
        }
    }
};

} // namespace kingcupcart::routing
