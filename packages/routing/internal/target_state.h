#pragma once

#include "base/clock.h"
#include "base/units.h"
#include "base/urgency.h"
#include "routing/distance.h"
#include "routing/target_health.h"
#include "routing/target_profile.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace kingcupcart::routing {

/// An attempt without output so far.
struct waiting_attempt {
    time_point sent;
    urgency kind = urgency::short_work;
    tokens prompt;
    /// The prompt, and what the target had to read before it when it was sent.
    tokens unread_when_sent;
    /// Counts among the target's long prompts.
    bool is_long_prompt = false;
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
    /// Sum of the prompts of these attempts.
    tokens unread;
    /// Number of these attempts with long prompts.
    int long_prompts = 0;
    /// When a time to first output last entered the health average.
    time_point last_observed{};

    [[nodiscard]] int running() const { return this->short_running + this->long_running; }
    [[nodiscard]] int load() const { return this->running() + this->remote_load; }
    [[nodiscard]] bool has_room() const { return this->load() < this->profile.slots; }

    /// Returns the attempt that was sent then; empty if there is none.
    std::optional<waiting_attempt> remove_waiting(time_point sent) {
        const auto found = std::find_if(this->waiting.begin(), this->waiting.end(),
                                        [&](const auto& attempt) { return attempt.sent == sent; });
        if (found == this->waiting.end()) {
            return std::nullopt;
        }
        const waiting_attempt removed = *found;
        this->waiting.erase(found);
        this->unread -= removed.prompt;
        this->long_prompts -= removed.is_long_prompt ? 1 : 0;
        return removed;
    }
};

} // namespace kingcupcart::routing
