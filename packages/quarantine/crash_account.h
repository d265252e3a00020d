#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/checked_target.h"
#include "quarantine/crash_history.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine_limits.h"
#include "quarantine/send_decision.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcupcart::quarantine {

/// How an attempt ended, as far as it tells whether the request crashed its target.
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
/// Counted is what this instance saw and what the leading keeper tells; both are kept while no
/// keeper can be reached, and reported to each keeper that the instance connects to.
class crash_account {
public:
    explicit crash_account(quarantine_limits limits = {}) : limits(limits) {}

    [[nodiscard]] send_decision decide(const request_fingerprint& fingerprint,
                                       time_point now) const;
    /// Whether more copies of a running request, such as a hedge, may be sent beside it.
    [[nodiscard]] bool is_free(const request_fingerprint& fingerprint, time_point now) const;

    /// A request waits until it may be sent, or no longer does.
    void add_waiting(const request_fingerprint& fingerprint);
    void remove_waiting(const request_fingerprint& fingerprint);

    /// An attempt is sent. Uses the granted trial, if there is one.
    void begin(attempt_id attempt, const request_fingerprint& fingerprint, const target_id& target,
               incarnation_id incarnation, time_point now);
    /// Unknown attempts are ignored.
    void end(attempt_id attempt, attempt_end how, time_point now);

    /// This incarnation of the target refuses connections, or the target has another one: it has
    /// ended.
    void record_target_ended(const target_id& target, incarnation_id incarnation, time_point now);
    /// This incarnation of the target has responded, or accepted a connection, after one broke.
    void record_target_alive(const target_id& target, incarnation_id incarnation, time_point now);
    /// Targets of which it isn't known yet whether they ended.
    [[nodiscard]] std::vector<checked_target> unproven_targets() const;

    void handle(const suspect_update& update, time_point now);
    void handle(const trial_decision& decision, time_point now);

    /// Messages to send to all connected keepers now.
    [[nodiscard]] std::vector<account_message> collect(time_point now);
    /// Messages for a keeper to which a connection was just established.
    [[nodiscard]] std::vector<account_message> initial_messages(time_point now) const;
    /// When `collect` and `take_changed` have to be called again.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// Requests for which `decide` may return something else than before, since the last call.
    [[nodiscard]] std::vector<request_fingerprint> take_changed(time_point now);

    [[nodiscard]] std::size_t suspects() const;
    [[nodiscard]] std::size_t quarantined(time_point now) const;
    /// Number of crashes that count, as far as this instance knows.
    [[nodiscard]] std::size_t crashes(const request_fingerprint& fingerprint) const;

private:
    struct sent_demand {
        std::uint64_t number = 0;
        time_point sent_at{};
    };
    struct grant {
        std::uint64_t number = 0;
        time_point expires{};
        /// The attempt that uses it.
        std::optional<attempt_id> attempt;
        /// Taken without the leading keeper.
        bool is_own = false;
    };
    struct entry {
        crash_history history;
        /// The leading keeper's latest update, and the number of crashes known here after it.
        suspect_state state = suspect_state::cleared;
        std::size_t updated_crashes = 0;
        std::size_t known_at_update = 0;
        std::uint32_t late_trials = 0;
        std::optional<time_point> last_trial_at;
        time_point next_trial_at{};
        std::optional<grant> trial;
        /// Attempts that were sent alone.
        std::set<attempt_id> lone;
        /// Attempts from before the suspicion.
        std::set<attempt_id> copies;
        std::uint32_t reported_copies = 0;
        std::uint32_t waiting = 0;
        /// Demands that may still be granted, the oldest first.
        std::deque<sent_demand> sent_demands;
        bool has_demand = false;
        /// When the oldest demand was sent that is not answered.
        std::optional<time_point> unanswered_since;
        bool used_own_trial = false;
        /// The remembered response that was reported to the keepers.
        std::optional<time_point> reported_completion;
    };
    struct running_attempt {
        request_fingerprint fingerprint;
        target_id target;
        incarnation_id incarnation;
        time_point began{};
        bool is_trial = false;
    };
    [[nodiscard]] const entry* find(const request_fingerprint& fingerprint) const;
    entry& suspect(const request_fingerprint& fingerprint);
    /// Number of crashes that count: those of the latest update, and what changed here since.
    [[nodiscard]] static std::size_t crashes_of(const entry& known);
    [[nodiscard]] static suspect_state state_of(const entry& known);
    [[nodiscard]] bool has_lost_leader(const entry& known, time_point now) const;
    [[nodiscard]] bool has_grant(const entry& known, time_point now) const;
    [[nodiscard]] bool may_take_own_trial(const entry& known, time_point now) const;
    [[nodiscard]] suspect_update make_update(const request_fingerprint& fingerprint,
                                             const entry& known, time_point now) const;
    void end_trial(const request_fingerprint& fingerprint, entry& known, trial_outcome outcome);
    void clear(const request_fingerprint& fingerprint, entry& known, time_point completed_at);
    /// Forgets what depended on crashes, if none counts any longer.
    void apply_clearance(const request_fingerprint& fingerprint, entry& known);
    void remember_completion(const request_fingerprint& fingerprint, time_point now);
    /// Reports the remembered response, if it came after a crash.
    void apply_completion(const request_fingerprint& fingerprint, entry& known, time_point now);
    void note_change(const request_fingerprint& fingerprint, const entry& known);
    void set_status(const target_id& target, incarnation_id incarnation, crash_status status,
                    time_point now);
    void report_copies(const request_fingerprint& fingerprint, entry& known);
    [[nodiscard]] bool is_demand_due(const entry& known, time_point now) const;
    [[nodiscard]] bool wants_trial(const entry& known, time_point now) const;
    void collect_demand(const request_fingerprint& fingerprint, entry& known, time_point now,
                        std::vector<account_message>& messages);
    [[nodiscard]] bool take_token(time_point now);
    void expire(time_point now);
    void drop_surplus();
    void erase_if_idle(const request_fingerprint& fingerprint);

    using target_key = std::pair<target_id, incarnation_id>;
    struct unproven_state {
        time_point since{};
        std::set<request_fingerprint> suspects;
    };

    quarantine_limits limits;
    std::map<request_fingerprint, entry> entries;
    std::unordered_map<attempt_id, running_attempt> attempts;
    /// Running attempts of each request that is subject to quarantine.
    std::unordered_map<request_fingerprint, std::set<attempt_id>> running;
    /// Targets that may have ended under this instance's requests.
    std::map<target_key, unproven_state> unproven;
    /// When requests under no suspicion were answered.
    std::unordered_map<request_fingerprint, time_point> completions;
    std::deque<std::pair<time_point, request_fingerprint>> completions_by_age;
    std::deque<account_message> outgoing;
    std::set<request_fingerprint> changed;
    /// Requests that wait, or whose demand isn't withdrawn yet.
    std::set<request_fingerprint> awaited;
    std::optional<time_point> expired_at;
    std::uint64_t last_demand = 0;
    double message_tokens = 0;
    std::optional<time_point> tokens_at;
};

} // namespace kingcupcart::quarantine
