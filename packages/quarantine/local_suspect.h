#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "quarantine/known_crashes.h"
#include "quarantine/quarantine_limits.h"
#include "quarantine/send_decision.h"
#include "quarantine/trial_request.h"

#include <cstdint>
#include <optional>
#include <set>

namespace kingcupcart::quarantine {

/// A request under suspicion, or one that waits, at one sending instance.
struct local_suspect {
    known_crashes crashes;
    trial_request trial;
    /// Attempts that were sent alone.
    std::set<attempt_id> lone;
    /// Attempts from before the suspicion.
    std::set<attempt_id> copies;
    std::uint32_t reported_copies = 0;
    /// Number of requests that wait until they may be sent.
    std::uint32_t waiting = 0;

    [[nodiscard]] send_decision decide(time_point now, const quarantine_limits& limits) const;
    [[nodiscard]] bool wants_trial(time_point now) const;
    /// Whether a trial may begin without the leading keeper.
    [[nodiscard]] bool may_begin_own_trial(time_point now, const quarantine_limits& limits) const;
    /// When a demand for a trial may be due; empty if no trial is wanted.
    [[nodiscard]] std::optional<time_point> next_demand_at(const quarantine_limits& limits) const;
    /// Whether nothing would be lost with it.
    [[nodiscard]] bool is_idle() const;

    /// An attempt is sent. Returns whether it is a trial.
    bool begin(attempt_id attempt, time_point now, const quarantine_limits& limits);
    void end(attempt_id attempt);
    /// No crash counts any longer: the running attempts are those from before a later suspicion.
    void end_suspicion();
    /// The number of copies that run if the keepers need a report of it, which it marks as sent.
    [[nodiscard]] std::optional<std::uint32_t> take_copies_to_report();
};

} // namespace kingcupcart::quarantine
