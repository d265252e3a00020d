#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine_event.h"
#include "quarantine/quarantine_limits.h"
#include "quarantine/suspect_table.h"
#include "quarantine/token_bucket.h"

#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kingcupcart::quarantine {

/// The crashes that all senders report, at each keeper. Only the leading keeper, which has the
/// authority, sends updates on suspects and grants trials; the others record the reports, so that
/// they can take over.
class crash_registry {
public:
    explicit crash_registry(quarantine_limits limits = {})
        : limits(limits), update_rate(limits.updates_per_second, limits.update_burst) {}

    void set_authority(bool is_authorized, time_point now);
    /// The sender has disconnected: its trial ends with an unclear outcome; its demands are
    /// dropped.
    void remove_sender(const instance_id& sender, time_point now);
    void handle(const instance_id& sender, const account_message& message, time_point now);

    /// Messages to send now; empty without authority.
    [[nodiscard]] std::vector<addressed_message> collect(time_point now);
    /// Messages for a sender to which a connection was just established; empty without
    /// authority.
    [[nodiscard]] std::vector<suspect_update> initial_messages(time_point now) const;
    /// When `collect` has to be called again.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// The transitions since the last call, for logs.
    [[nodiscard]] std::vector<quarantine_event> take_events();
    [[nodiscard]] quarantine_counts counts() const;
    [[nodiscard]] suspect_state state_of(const request_fingerprint& fingerprint) const;

private:
    void on(const instance_id& sender, const crash_report& report, time_point now);
    void on(const instance_id& sender, const completion_report& report, time_point now);
    void on(const instance_id& sender, const trial_demand& demand, time_point now);
    void on(const instance_id& sender, const trial_end& ended, time_point now);
    void on(const instance_id& sender, const copy_report& report, time_point now);
    void on(const instance_id& sender, const suspect_update& update, time_point now);

    reported_suspect& find_or_add(const request_fingerprint& fingerprint);
    void erase(const request_fingerprint& fingerprint);
    void merge(const request_fingerprint& fingerprint, reported_suspect& known,
               const crash_record& crash, time_point now);
    /// Applies the proof or withdrawal to all suspects that may have crashed the target.
    void apply_to_suspects(const crash_record& crash, const instance_id& source, time_point now);
    /// Determines the state of the suspect again and records what has changed.
    void refresh(const request_fingerprint& fingerprint, reported_suspect& known,
                 const instance_id& source, time_point now);
    /// Refreshes the requests that crashed the same targets.
    void refresh_related(const request_fingerprint& fingerprint, const instance_id& source,
                         time_point now);
    void add_event(quarantine_transition transition, const request_fingerprint& fingerprint,
                   const reported_suspect& known, std::size_t crashes, const instance_id& source,
                   time_point now);
    void expire(time_point now);

    /// Records the demand, or refuses it.
    [[nodiscard]] trial_decision decide(const instance_id& sender, const trial_demand& demand,
                                        reported_suspect& known, time_point now);
    [[nodiscard]] bool may_grant(const request_fingerprint& fingerprint,
                                 const reported_suspect& known, time_point now) const;
    [[nodiscard]] std::vector<addressed_message> grant_trials(time_point now);
    void send_updates(time_point now, std::vector<addressed_message>& messages);

    quarantine_limits limits;
    bool is_authorized = false;
    time_point authorized_at{};
    suspect_table suspects;
    /// Requests with demands.
    std::set<request_fingerprint> demanded;
    /// Suspects of which an update is due to the senders.
    std::set<request_fingerprint> unsent;
    std::vector<addressed_message> outgoing;
    std::vector<quarantine_event> events;
    token_bucket update_rate;
    time_point collected_at{};
    /// Targets that ended, so that each counts once in the metrics.
    std::set<std::pair<target_id, incarnation_id>> ended_targets;
    std::size_t targets_ended = 0;
    std::size_t trials = 0;
};

} // namespace kingcupcart::quarantine
