#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine_limits.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace kingcupcart::quarantine {

/// A sender's demands for a trial of one suspect, and the trial that it has got.
class trial_request {
public:
    /// Whether there is a trial that has not ended; it may not have begun yet.
    [[nodiscard]] bool has_trial() const { return this->trial.has_value(); }
    /// Whether the leading keeper has granted a trial that may begin now.
    [[nodiscard]] bool has_grant(time_point now) const;
    /// Until when the granted trial may begin; empty if there is none, or it has begun.
    [[nodiscard]] std::optional<time_point> grant_expiry() const;
    [[nodiscard]] bool is_trial(attempt_id attempt) const;
    /// Begins the granted trial.
    void begin(attempt_id attempt) { this->trial->attempt = attempt; }

    /// Whether the leading keeper has left a demand unanswered for too long.
    [[nodiscard]] bool has_lost_leader(time_point now, const quarantine_limits& limits) const;
    /// Whether a trial may begin without the leading keeper: once after it was lost.
    [[nodiscard]] bool may_begin_own(time_point now, const quarantine_limits& limits) const;
    /// Begins a trial without the leading keeper.
    void begin_own(attempt_id attempt, time_point now);
    /// Allows another trial of its own: the leading keeper has responded.
    void reset_own() { this->used_own = false; }

    /// Ends the trial. Returns the report to the keepers; empty if they don't know of the trial.
    [[nodiscard]] std::optional<trial_end> end(const request_fingerprint& fingerprint,
                                               trial_outcome outcome);

    /// Whether a demand was sent that was neither withdrawn nor decided.
    [[nodiscard]] bool has_demand() const { return this->is_demanded; }
    /// Whether a demand, or its withdrawal, has to be sent.
    [[nodiscard]] bool is_demand_due(bool is_wanted, time_point now,
                                     const quarantine_limits& limits) const;
    /// The demand to send now, or its withdrawal.
    [[nodiscard]] trial_demand make_demand(const request_fingerprint& fingerprint,
                                           std::uint64_t number, bool is_wanted, time_point now,
                                           const quarantine_limits& limits);
    /// When the demand has to be repeated; empty if none was sent.
    [[nodiscard]] std::optional<time_point> next_demand_at(const quarantine_limits& limits) const;
    /// Handles the leading keeper's answer to a demand. Returns whether it is a grant or a refusal
    /// that applies: neither late, nor a grant of a trial that is not needed.
    [[nodiscard]] bool accept(const trial_decision& decision, bool is_needed, time_point now,
                              const quarantine_limits& limits);

private:
    struct sent_demand {
        std::uint64_t number = 0;
        time_point sent_at{};
    };
    struct granted_trial {
        /// Number of the demand.
        std::uint64_t number = 0;
        time_point expires{};
        /// The attempt that uses it.
        std::optional<attempt_id> attempt;
        /// Begun without the leading keeper.
        bool is_own = false;
    };

    std::optional<granted_trial> trial;
    /// Demands that may still be granted, the oldest first.
    std::deque<sent_demand> sent_demands;
    bool is_demanded = false;
    /// When the oldest unanswered demand was sent.
    std::optional<time_point> unanswered_since;
    bool used_own = false;
};

} // namespace kingcupcart::quarantine
