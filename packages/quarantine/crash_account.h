#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/checked_target.h"
#include "quarantine/crash_messages.h"
#include "quarantine/local_suspect.h"
#include "quarantine/quarantine_limits.h"
#include "quarantine/recent_completions.h"
#include "quarantine/send_decision.h"
#include "quarantine/token_bucket.h"
#include "quarantine/unproven_crashes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace kingcupcart::quarantine {

/// The end of an attempt, as evidence of whether the request crashed its target.
enum class attempt_end {
    /// A whole response, whatever its status.
    completed,
    /// The connection broke after the request was written, without a whole response.
    disconnected,
    /// Anything else: cancelled, unreachable, declined, malformed, or the target was leaving.
    unclear
};

/// What one sending instance knows of requests that crash their targets, and whether it may send
/// them. Requests under no suspicion are sent freely and cause no messages.
///
/// Counts the crashes that this instance saw and those that the leading keeper sent. Keeps both
/// while no keeper can be reached, and reports them to each keeper that the instance connects to.
class crash_account {
public:
    explicit crash_account(quarantine_limits limits = {})
        : limits(limits),
          completions(limits.max_completions),
          message_rate(limits.messages_per_second, limits.message_burst) {}

    [[nodiscard]] send_decision decide(const request_fingerprint& fingerprint,
                                       time_point now) const;
    /// Whether further copies of a running request, such as a hedge, may be sent.
    [[nodiscard]] bool is_free(const request_fingerprint& fingerprint, time_point now) const;

    /// A request starts to wait until it may be sent, or stops waiting.
    void add_waiting(const request_fingerprint& fingerprint);
    void remove_waiting(const request_fingerprint& fingerprint);

    /// An attempt is sent. It uses the granted trial, if there is one.
    void begin(attempt_id attempt, const request_fingerprint& fingerprint, const target_id& target,
               incarnation_id incarnation, time_point now);
    /// Unknown attempts are ignored.
    void end(attempt_id attempt, attempt_end how, time_point now);

    /// This incarnation of the target refuses connections, or the target has another one: it has
    /// ended.
    void record_target_ended(const target_id& target, incarnation_id incarnation, time_point now);
    /// This incarnation of the target has responded, or accepted a connection, after one broke.
    void record_target_alive(const target_id& target, incarnation_id incarnation, time_point now);
    /// Targets for which it isn't known yet whether they have ended.
    [[nodiscard]] std::vector<checked_target> unproven_targets() const {
        return this->unproven.targets();
    }

    void handle(const suspect_update& update, time_point now);
    void handle(const trial_decision& decision, time_point now);

    /// Messages to send to all connected keepers now.
    [[nodiscard]] std::vector<account_message> collect(time_point now);
    /// Messages for a keeper to which a connection was just established.
    [[nodiscard]] std::vector<account_message> initial_messages(time_point now) const;
    /// When `collect` and `take_changed` have to be called again.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// Requests whose `decide` may have changed since the last call.
    [[nodiscard]] std::vector<request_fingerprint> take_changed(time_point now);

    [[nodiscard]] std::size_t suspects() const;
    [[nodiscard]] std::size_t quarantined(time_point now) const;
    /// Number of crashes that count, as far as this instance knows.
    [[nodiscard]] std::size_t crashes(const request_fingerprint& fingerprint) const;

private:
    struct running_attempt {
        request_fingerprint fingerprint;
        target_id target;
        incarnation_id incarnation;
        bool is_trial = false;
    };

    [[nodiscard]] const local_suspect* find(const request_fingerprint& fingerprint) const;
    local_suspect& find_or_add(const request_fingerprint& fingerprint);
    void end_running(attempt_id attempt, const request_fingerprint& fingerprint);
    void record_crash(const running_attempt& ended, time_point now);
    void end_trial(const request_fingerprint& fingerprint, local_suspect& known,
                   trial_outcome outcome);
    /// Forgets what depended on crashes, if none counts any longer.
    void apply_clearance(const request_fingerprint& fingerprint, local_suspect& known);
    /// Reports the remembered response, if it came shortly before the first crash or after it.
    void apply_completion(const request_fingerprint& fingerprint, local_suspect& known,
                          time_point now);
    void record_change(const request_fingerprint& fingerprint, const local_suspect& known);
    void set_status(const target_id& target, incarnation_id incarnation, crash_status status,
                    time_point now);
    void report_copies(const request_fingerprint& fingerprint, local_suspect& known);
    void collect_demand(const request_fingerprint& fingerprint, local_suspect& known,
                        time_point now, std::vector<account_message>& messages);
    void expire(time_point now);
    void drop_surplus();
    void erase_if_idle(const request_fingerprint& fingerprint);

    quarantine_limits limits;
    std::map<request_fingerprint, local_suspect> suspected;
    std::unordered_map<attempt_id, running_attempt> attempts;
    /// Running attempts of each request that is subject to quarantine.
    std::unordered_map<request_fingerprint, std::set<attempt_id>> running;
    unproven_crashes unproven;
    recent_completions completions;
    std::deque<account_message> outgoing;
    std::set<request_fingerprint> changed;
    /// Requests that wait, or whose demand isn't withdrawn yet.
    std::set<request_fingerprint> awaited;
    std::optional<time_point> expired_at;
    std::uint64_t last_demand = 0;
    token_bucket message_rate;
};

} // namespace kingcupcart::quarantine
