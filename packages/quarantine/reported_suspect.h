#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/crash_history.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine_limits.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace kingcupcart::quarantine {

/// What a keeper knows of a suspect from the reports of all senders.
struct reported_suspect {
    /// A sender's latest demand for a trial.
    struct demand_state {
        std::uint64_t number = 0;
        time_point received_at{};
        time_point first_received_at{};
    };
    struct running_trial {
        instance_id sender;
        /// Number of the demand that was granted.
        std::uint64_t number = 0;
        time_point granted_at{};
        bool is_late = false;
        std::optional<time_point> previous_trial_at;
    };

    crash_history history;
    std::uint32_t late_trials = 0;
    /// When the latest late trial was granted.
    std::optional<time_point> last_trial_at;
    std::optional<running_trial> trial;
    std::map<instance_id, demand_state> demands;
    /// For each sender that runs copies: until when they count.
    std::map<instance_id, time_point> copies;
    suspect_state state = suspect_state::cleared;
    /// Number of crashes that counted when `state` was determined.
    std::size_t counted_crashes = 0;
    std::optional<time_point> suspected_at;
    /// A demand was refused since the state last changed.
    bool has_refused = false;

    /// When the next trial may be granted; `time_point::max()` if none may.
    [[nodiscard]] time_point next_trial_at(const quarantine_limits& limits) const;
    /// Whether the demanded trial is held back for copies that run.
    [[nodiscard]] bool awaits_copies(time_point now, const quarantine_limits& limits) const;
    [[nodiscard]] suspect_update make_update(const request_fingerprint& fingerprint, time_point now,
                                             const quarantine_limits& limits) const;
    /// Drops the trial, the demands, the copies and the crashes whose time is over.
    void expire(time_point now, const quarantine_limits& limits);
};

} // namespace kingcupcart::quarantine
