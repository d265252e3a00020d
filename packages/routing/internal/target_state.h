#pragma once

#include "base/clock.h"
#include "base/urgency.h"
#include "routing/distance.h"
#include "routing/target_health.h"
#include "routing/target_profile.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace kingcupcart::routing {

/// An attempt without output so far.
struct waiting_attempt {
    time_point sent;
    urgency kind = urgency::short_work;
};

/// The router's state of one target.
struct target_state {
    target_profile profile;
    distance target_distance = distance::own_domain;
    /// Orders the pool identically on all instances, so that they pack long work on the same
    /// targets.
    std::uint64_t rank = 0;
    target_health health;
    int short_running = 0;
    int long_running = 0;
    /// Number of running and waiting requests of other instances, from the latest load report.
    int remote_load = 0;
    /// Attempts without output so far, oldest first.
    std::vector<waiting_attempt> waiting;
    /// When a time to first output last entered the health average.
    time_point last_observed{};

    [[nodiscard]] int running() const { return this->short_running + this->long_running; }
    [[nodiscard]] int load() const { return this->running() + this->remote_load; }
    [[nodiscard]] bool has_room() const { return this->load() < this->profile.slots; }

    void remove_waiting(time_point sent) {
        const auto found = std::find_if(this->waiting.begin(), this->waiting.end(),
                                        [&](const auto& attempt) { return attempt.sent == sent; });
        if (found != this->waiting.end()) {
            this->waiting.erase(found);
        }
    }
};

} // namespace kingcupcart::routing
