#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/crash_history.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine_limits.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace kingcupcart::quarantine {

/// The crashes under one request that a sending instance knows: those that it saw, and those in
/// the updates of the leading keeper.
class known_crashes {
public:
    /// Number of crashes that count: those of the latest update, and what changed here since.
    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] suspect_state state() const;
    [[nodiscard]] std::optional<time_point> last_at() const { return this->history.last_at(); }
    /// When the next trial of a quarantined request may be asked for.
    [[nodiscard]] time_point next_trial_at() const { return this->trial_due_at; }
    /// When `expire` has to be called next.
    [[nodiscard]] std::optional<time_point> next_expiry(const quarantine_limits& limits) const {
        return this->history.next_expiry(limits);
    }

    void record(const crash_record& crash, time_point now, const quarantine_limits& limits) {
        this->history.record(crash, now, limits);
    }
    /// Returns whether a suspected crash of this incarnation of the target got the status.
    [[nodiscard]] bool set_status(const target_id& target, incarnation_id incarnation,
                                  crash_status status) {
        return this->history.set_status(target, incarnation, status);
    }
    /// Applies an update of the leading keeper that does not clear the request.
    void apply(const suspect_update& update, time_point now, const quarantine_limits& limits);
    /// The leading keeper has quarantined the request, with no trial before this time.
    void apply_refusal(time_point next_trial_at);
    /// The request got a whole response at this time.
    void clear(time_point completed_at);
    /// The leading keeper cleared the request, because of a response at this time if there is one.
    void clear_all(std::optional<time_point> completed_at);
    /// Drops crashes that no longer count. Returns whether there were any.
    [[nodiscard]] bool expire(time_point now, const quarantine_limits& limits);
    /// Whether a response at this time bears on these crashes and was not reported to the keepers
    /// yet. Marks it as reported.
    [[nodiscard]] bool take_completion(time_point completed_at);
    [[nodiscard]] suspect_update make_update(const request_fingerprint& fingerprint, time_point now,
                                             const quarantine_limits& limits) const;

private:
    /// Makes what is known here the base of `count`. Forgets what depended on crashes if none
    /// counts.
    void reset_counts();

    crash_history history;
    /// The state, the number of crashes and the trials of the leading keeper's latest update.
    suspect_state updated_state = suspect_state::cleared;
    std::size_t updated_crashes = 0;
    std::uint32_t late_trials = 0;
    std::optional<time_point> last_trial_at;
    time_point trial_due_at{};
    /// Number of crashes in `history` that counted after that update.
    std::size_t counted_at_update = 0;
    /// The response that was reported to the keepers.
    std::optional<time_point> reported_completion;
};

} // namespace kingcupcart::quarantine
