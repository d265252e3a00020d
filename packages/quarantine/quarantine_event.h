#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"

#include <cstddef>

namespace kingcupcart::quarantine {

enum class quarantine_transition {
    /// A first crash counts.
    suspected,
    /// The request is quarantined.
    confirmed,
    /// The request was answered, or its crashes were withdrawn.
    cleared,
    /// A demand for a trial was refused.
    refused,
    /// The last crash no longer counts.
    expired
};

[[nodiscard]] const char* to_string(quarantine_transition transition);

/// A transition of a request under suspicion, for logs.
struct quarantine_event {
    quarantine_transition transition = quarantine_transition::suspected;
    request_fingerprint fingerprint;
    /// Number of crashes that count, before the transition if it ends the suspicion.
    std::size_t crashes = 0;
    /// The sender whose message caused the transition; empty if it was caused by an expiry.
    instance_id source;
    /// Time since the first crash that is known.
    duration age{};
};

/// Numbers for metrics.
struct quarantine_counts {
    /// Requests under suspicion, quarantined ones included.
    std::size_t suspects = 0;
    std::size_t quarantined = 0;
    /// Number of targets that ended under a suspect, since the start.
    std::size_t targets_ended = 0;
    /// Number of trials granted since the start.
    std::size_t trials = 0;
};

} // namespace kingcupcart::quarantine
