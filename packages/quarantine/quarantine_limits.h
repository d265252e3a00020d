#pragma once

#include "base/clock.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace kingcupcart::quarantine {

/// Number of crashes from which on each send needs a trial.
inline constexpr std::size_t crashes_until_trials = 2;
/// Number of crashes from which on a request is quarantined.
inline constexpr std::size_t crashes_until_quarantine = 3;
/// Number of trials of a quarantined request within `quarantine_limits::crash_lifetime`.
inline constexpr std::size_t max_late_trials = 3;

/// A request that was answered within this time before its first crash does not crash every target.
/// So its crashes at the same moment count once, and the first moments don't count.
inline constexpr duration answered_lifetime = std::chrono::minutes(1);
/// Crashes are at the same moment if each follows the previous one within this time.
inline constexpr duration same_moment = std::chrono::milliseconds(500);
/// Number of moments that don't count after an answer.
inline constexpr std::size_t answered_credit = 2;

/// Parameters of the quarantine of requests that crash their targets.
struct quarantine_limits {
    /// How long a proven crash counts, and a quarantine lasts.
    duration crash_lifetime = std::chrono::hours(24);
    /// How long a lost connection counts as a crash without proof that the target ended.
    duration suspicion_lifetime = std::chrono::seconds(5);
    /// How long a cleared request is remembered; a late report does not make it a suspect again.
    duration cleared_lifetime = std::chrono::minutes(10);
    /// Time from a confirmed third crash, or from the end of the latest trial, to the next one.
    std::array<duration, max_late_trials> trial_delays{
        std::chrono::seconds(30), std::chrono::minutes(30), std::chrono::hours(6)};
    /// Trials that are granted this soon after the third crash don't count among the late ones.
    duration free_trial_time = std::chrono::seconds(2);
    /// How long after its demand a sender may begin a trial; bounds what late messages add.
    duration grant_lifetime = std::chrono::seconds(1);
    /// A trial without an end for this time counts as used, with an unclear outcome.
    duration trial_lease = std::chrono::seconds(30);
    /// A sender repeats its demand at this interval while requests wait.
    duration demand_interval = std::chrono::milliseconds(300);
    /// The registry drops a demand that was not repeated for this time.
    duration demand_timeout = std::chrono::milliseconds(1000);
    /// Without an answer for this time, a sender considers the leading keeper lost.
    duration leader_timeout = std::chrono::milliseconds(1500);
    /// A new leader grants no trials for this time, while senders report what they know.
    duration settle_time = std::chrono::seconds(1);
    /// How long other suspects that crashed the same targets wait for a trial that has begun, so
    /// that a crash under it has one cause.
    duration isolation_time = std::chrono::milliseconds(300);
    /// How long a trial is held back for copies that still run.
    duration copy_wait = std::chrono::seconds(2);
    /// A running copy that was reported keeps a request from quarantine for this time at most.
    duration copy_lease = std::chrono::seconds(30);
    /// Longest delay after which a refused caller is asked to retry.
    duration max_retry_after = std::chrono::minutes(1);
    /// Number of requests under suspicion that an account or a registry keeps.
    std::size_t max_entries = 4096;
    /// Number of answered requests that an account remembers.
    std::size_t max_completions = 4096;
    /// Number of crashes that are kept of a request; later ones change nothing.
    std::size_t max_crashes = 16;
    /// Number of targets that an update names, which bounds its size.
    std::size_t max_reported_crashes = 4;
    /// Number of suspects that the first messages on a new connection name.
    std::size_t max_initial_messages = 512;
    /// Rate and burst of the updates that a registry sends to all senders.
    double updates_per_second = 20;
    double update_burst = 40;
    /// Rate and burst of the messages that an account sends to each keeper.
    double messages_per_second = 100;
    double message_burst = 200;
};

} // namespace kingcupcart::quarantine
