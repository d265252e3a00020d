#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/checked_target.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kingcupcart::quarantine {

/// Targets whose connections to this instance broke under requests, while it isn't known whether
/// they have ended.
class unproven_crashes {
public:
    struct crash {
        /// When the first connection broke.
        time_point since{};
        /// The requests under which connections broke.
        std::set<request_fingerprint> suspects;
    };

    void add(const target_id& target, incarnation_id incarnation,
             const request_fingerprint& fingerprint, time_point now);
    /// Removes what is known of this incarnation of the target; empty if there is nothing.
    [[nodiscard]] std::optional<crash> take(const target_id& target, incarnation_id incarnation);
    /// The request is no longer a suspect.
    void remove_suspect(const request_fingerprint& fingerprint);
    /// Removes targets whose first connection broke `lifetime` ago.
    void expire(time_point now, duration lifetime);
    [[nodiscard]] std::vector<checked_target> targets() const;

private:
    std::map<std::pair<target_id, incarnation_id>, crash> crashes;
};

} // namespace kingcupcart::quarantine
