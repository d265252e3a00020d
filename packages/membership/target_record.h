#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/location.h"
#include "membership/model_weights.h"
#include "membership/target_kind.h"

#include <chrono>
#include <cstdint>
#include <tuple>
#include <vector>

namespace kingcupcart::membership {

/// The state that a target announces, with the bookkeeping that orders its records.
struct target_record {
    target_id id;
    target_kind kind = target_kind::engine;
    backend_name backend;
    endpoint address;
    location place;
    /// Number of requests that the target runs concurrently.
    int slots = 1;
    incarnation_id incarnation;
    /// Increases with each change that the target announces within one incarnation.
    std::uint64_t sequence = 0;
    /// Increases each time an instance marks the target as gone, or as present again, at this
    /// sequence.
    std::uint64_t revision = 0;
    bool leaving = false;
    /// The target is gone; the record is kept for a while, so that an older record cannot restore
    /// it.
    bool gone = false;
    weight_version version;
    /// Weights of each model, if an engine serves several.
    std::vector<model_weights> weights;
    /// The engine is loading new weights, and rejects requests that it has not started.
    bool loading = false;
    /// Empty if the target states none; then all targets of its backend count as of one version.
    software_version software;
    /// The platform may reclaim the target, together with all others of its kind in the failure
    /// domain.
    bool spot = false;
    /// Time from the announcement until the target ends; zero if it states none. Counts down with
    /// each announcement, so that it is no part of what has changed.
    std::chrono::milliseconds leaves_after{};

    friend bool operator==(const target_record&, const target_record&) = default;

    /// Whether this record supersedes `other`, a record of the same target.
    [[nodiscard]] bool is_newer_than(const target_record& other) const {
        return std::tie(this->incarnation, this->sequence, this->revision) >
               std::tie(other.incarnation, other.sequence, other.revision);
    }

    /// Whether `later` differs from this record in the sequence at most, so that it announces no
    /// change.
    [[nodiscard]] bool equals_except_sequence(const target_record& later) const {
        target_record adjusted = later;
        adjusted.sequence = this->sequence;
        adjusted.leaves_after = this->leaves_after;
        return adjusted == *this;
    }
    /// Whether both records stem from the same announcement of the target.
    [[nodiscard]] bool is_same_announcement(const target_record& other) const {
        return std::tie(this->incarnation, this->sequence) ==
               std::tie(other.incarnation, other.sequence);
    }
};

} // namespace kingcupcart::membership
