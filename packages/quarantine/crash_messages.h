#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Messages between senders and keepers about requests that may crash their targets. Times are
/// sent as ages, since the clocks of instances differ.
namespace kingcupcart::quarantine {

enum class crash_status {
    /// The connection broke without a whole response.
    suspected,
    /// The target has ended.
    proven,
    /// The target is alive.
    withdrawn
};

[[nodiscard]] const char* to_string(crash_status status);

/// A target that may have ended while it ran a request.
struct crash_record {
    target_id target;
    incarnation_id incarnation;
    crash_status status = crash_status::suspected;
    /// The request was sent as a trial, which is the only copy in the whole fleet.
    bool is_trial = false;
    /// Time since the connection broke.
    duration age{};
};

/// Reports a crash, or the withdrawal of one, from a sender to all keepers.
struct crash_report {
    request_fingerprint fingerprint;
    crash_record crash;
};

/// A sender got a whole response to the request, which clears it. To all keepers.
struct completion_report {
    request_fingerprint fingerprint;
    /// Time since the response was complete.
    duration age{};
};

/// Requests of a sender wait for a trial. Replaces the sender's earlier demand. To all keepers; the
/// leading one answers.
struct trial_demand {
    request_fingerprint fingerprint;
    /// Increases with each demand of the sender.
    std::uint64_t number = 0;
    /// No request waits any longer.
    bool is_withdrawn = false;
};

enum class trial_verdict { granted, waiting, refused };

[[nodiscard]] const char* to_string(trial_verdict verdict);

/// The leading keeper's answer to a demand, and a later grant to it.
struct trial_decision {
    request_fingerprint fingerprint;
    /// Number of the demand.
    std::uint64_t demand = 0;
    trial_verdict verdict = trial_verdict::waiting;
    /// If refused: time until the next trial may be asked for; zero if none is due soon.
    duration retry_after{};
};

enum class trial_outcome {
    completed,
    crashed,
    /// The attempt was sent, and its end is no evidence for or against the request.
    unclear,
    /// The grant was not used.
    unused
};

[[nodiscard]] const char* to_string(trial_outcome outcome);

/// The end of a trial, to all keepers.
struct trial_end {
    request_fingerprint fingerprint;
    /// Number of the demand that was granted.
    std::uint64_t number = 0;
    trial_outcome outcome = trial_outcome::unclear;
};

/// Number of copies of a suspect that a sender sent before the suspicion and that still run. To all
/// keepers.
struct copy_report {
    request_fingerprint fingerprint;
    std::uint32_t running = 0;
};

enum class suspect_state {
    /// No crash counts any longer.
    cleared,
    /// One crash: senders send one copy at a time.
    suspected,
    /// Two crashes: each send needs a trial.
    restricted,
    /// Three crashes or more that may have another cause: each send needs a trial.
    unconfirmed,
    /// Three crashes or more: refused until the next trial is due.
    quarantined
};

[[nodiscard]] const char* to_string(suspect_state state);

/// What is known of a suspect. From the leading keeper to all senders; from a sender to a keeper
/// that it connects to, and to all keepers when it has been granted a trial.
struct suspect_update {
    request_fingerprint fingerprint;
    suspect_state state = suspect_state::suspected;
    /// Number of crashes that count.
    std::uint32_t crashes = 0;
    /// The latest crashes.
    std::vector<crash_record> latest;
    /// Number of late trials that were granted.
    std::uint32_t late_trials = 0;
    /// Time since the latest late trial was granted; empty if there was none.
    std::optional<duration> last_trial_age;
    /// Time until the next trial may be asked for.
    duration next_trial_in{};
    /// Time since the latest whole response that is known; empty if there was none lately.
    std::optional<duration> answered_age;
};

/// What an account sends to keepers.
using account_message = std::variant<crash_report, completion_report, trial_demand, trial_end,
                                     copy_report, suspect_update>;
/// What a registry sends to senders.
using registry_message = std::variant<suspect_update, trial_decision>;

/// A message to one sender, or to all senders if `recipient` is empty.
struct addressed_message {
    std::optional<instance_id> recipient;
    registry_message content;
};

} // namespace kingcupcart::quarantine
