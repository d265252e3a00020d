#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/location.h"
#include "membership/model_weights.h"
#include "membership/target_kind.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace kingcupcart::membership {

/// What a target announces of itself.
struct target_record {
    target_id id;
    target_kind kind = target_kind::engine;
    backend_name backend;
    endpoint address;
    location place;
    /// Requests run side by side.
    int slots = 1;
    incarnation_id incarnation;
    /// Grows with each change that the target announces within one incarnation.
    std::uint64_t sequence = 0;
    /// Grows each time an instance takes the target for gone, or for back, at this sequence.
    std::uint64_t revision = 0;
    bool leaving = false;
    /// The target is gone; kept for a while so that an older record cannot bring it back.
    bool gone = false;
    weight_version version;
    /// Weights of each model, where an engine serves several.
    std::vector<model_weights> weights;
    /// The engine takes new weights, and refuses meanwhile what has not started there.
    bool loading = false;

    friend bool operator==(const target_record&, const target_record&) = default;

    /// Whether this record is younger than `other` of the same target.
    [[nodiscard]] bool is_newer_than(const target_record& other) const {
        return std::tie(this->incarnation, this->sequence, this->revision) >
               std::tie(other.incarnation, other.sequence, other.revision);
    }

    /// Whether the target itself announced nothing else in a later announcement of the same
    /// incarnation.
    [[nodiscard]] bool is_repeated_by(const target_record& later) const {
        target_record same = later;
        same.sequence = this->sequence;
        return same == *this;
    }
    /// Whether the target itself announced both at the same moment of its life.
    [[nodiscard]] bool is_same_announcement(const target_record& other) const {
        return std::tie(this->incarnation, this->sequence) ==
               std::tie(other.incarnation, other.sequence);
    }
};

} // namespace kingcupcart::membership
