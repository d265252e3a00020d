#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/crash_history.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine_event.h"
#include "quarantine/quarantine_limits.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kingcupcart::quarantine {

/// The crashes that all senders report, at each keeper. Only the one with authority, the leading
/// keeper, tells senders of suspects and grants trials; the others listen, so that they can take
/// its place.
class crash_registry {
public:
    explicit crash_registry(quarantine_limits limits = {}) : limits(limits) {}

    void set_authority(bool is_authorized, time_point now);
    /// The sender has gone: its trial ends with an unclear outcome, and its demands are dropped.
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
    struct demand_state {
        std::uint64_t number = 0;
        time_point received_at{};
        time_point first_received_at{};
    };
    struct running_trial {
        instance_id sender;
        std::uint64_t number = 0;
        time_point granted_at{};
        bool is_late = false;
        std::optional<time_point> previous_trial_at;
    };
    struct entry {
        crash_history history;
        std::uint32_t late_trials = 0;
        std::optional<time_point> last_trial_at;
        std::optional<running_trial> trial;
        std::map<instance_id, demand_state> demands;
        /// Until when the copies count that each sender runs.
        std::map<instance_id, time_point> copies;
        suspect_state state = suspect_state::cleared;
        std::size_t known_crashes = 0;
        std::optional<time_point> suspected_at;
        /// A demand was refused since the state last changed.
        bool has_refused = false;
    };

    void on(const instance_id& sender, const crash_report& report, time_point now);
    void on(const instance_id& sender, const completion_report& report, time_point now);
    void on(const instance_id& sender, const trial_demand& demand, time_point now);
    void on(const instance_id& sender, const trial_end& ended, time_point now);
    void on(const instance_id& sender, const copy_report& report, time_point now);
    void on(const instance_id& sender, const suspect_update& update, time_point now);

    entry& find_or_add(const request_fingerprint& fingerprint, time_point now);
    [[nodiscard]] suspect_state evaluate(const request_fingerprint& fingerprint,
                                         const entry& known) const;
    /// Whether a trial crashed under circumstances that leave no other request to blame.
    [[nodiscard]] bool is_confirmed(const request_fingerprint& fingerprint,
                                    const entry& known) const;
    /// Whether another suspect that crashed the same targets has a trial.
    [[nodiscard]] bool shares_targets_with_trial(const request_fingerprint& fingerprint,
                                                 const entry& known, time_point now) const;
    /// Other suspects that crashed a target of this one.
    [[nodiscard]] std::set<request_fingerprint> related(const request_fingerprint& fingerprint,
                                                        const entry& known) const;
    void refresh(const request_fingerprint& fingerprint, entry& known, const instance_id& source,
                 time_point now);
    /// Refreshes the requests that crashed the same targets.
    void refresh_related(const request_fingerprint& fingerprint, const instance_id& source,
                         time_point now);
    void expire(time_point now);
    void drop_surplus(time_point now);
    [[nodiscard]] time_point next_trial_at(const entry& known) const;
    [[nodiscard]] bool may_grant(const request_fingerprint& fingerprint, const entry& known,
                                 time_point now) const;
    [[nodiscard]] std::vector<addressed_message> grant_trials(time_point now);
    void merge(const request_fingerprint& fingerprint, entry& known, const crash_record& crash,
               time_point now);
    void index(const request_fingerprint& fingerprint, const entry& known);
    [[nodiscard]] suspect_update make_update(const request_fingerprint& fingerprint,
                                             const entry& known, time_point now) const;
    void send_updates(time_point now, std::vector<addressed_message>& messages);
    void add_event(quarantine_transition transition, const request_fingerprint& fingerprint,
                   const entry& known, std::size_t crashes, const instance_id& source,
                   time_point now);

    void erase(const request_fingerprint& fingerprint);

    using target_key = std::pair<target_id, incarnation_id>;

    quarantine_limits limits;
    bool is_authorized = false;
    time_point authorized_at{};
    std::map<request_fingerprint, entry> entries;
    /// The suspects of each target that may have ended.
    std::map<target_key, std::set<request_fingerprint>> by_target;
    /// Requests with demands.
    std::set<request_fingerprint> demanded;
    /// Suspects of which an update is due to the senders.
    std::set<request_fingerprint> unsent;
    std::vector<addressed_message> outgoing;
    std::vector<quarantine_event> events;
    double update_tokens = 0;
    std::optional<time_point> tokens_at;
    time_point collected_at{};
    std::set<target_key> ended_targets;
    std::size_t targets_ended = 0;
    std::size_t trials = 0;
};

} // namespace kingcupcart::quarantine
