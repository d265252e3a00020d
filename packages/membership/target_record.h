#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/location.h"
#include "membership/target_kind.h"

#include <cstdint>
#include <tuple>

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

    friend bool operator==(const target_record&, const target_record&) = default;

    /// Whether this record is younger than `other` of the same target.
    [[nodiscard]] bool is_newer_than(const target_record& other) const {
        return std::tie(this->incarnation, this->sequence, this->revision) >
               std::tie(other.incarnation, other.sequence, other.revision);
    }

    /// Whether the target itself announced both at the same moment of its life.
    [[nodiscard]] bool is_same_announcement(const target_record& other) const {
        return std::tie(this->incarnation, this->sequence) ==
               std::tie(other.incarnation, other.sequence);
    }
};

} // namespace kingcupcart::membership
