#pragma once

#include "base/ids.h"
#include "routing/distance.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::routing {

/// Why a target was chosen, or why none was.
enum class route_reason {
    least_loaded,
    prefix_cached,
    probation_trial,
    spilled_over,
    only_suspects_left,
    no_room,
    /// Every target that could take the request is limited, and no permit is held.
    no_permit,
    no_target
};

[[nodiscard]] const char* to_string(route_reason reason);

/// A target that was scored; a lower score is better.
struct considered_target {
    target_id id;
    double score = 0;
};

/// The router's decision, with the details that explain it in a log line.
struct route_choice {
    std::optional<target_id> target;
    route_reason reason = route_reason::no_target;
    distance target_distance = distance::own_domain;
    std::vector<considered_target> considered;
    /// Targets that were not considered for the lack of a permit.
    std::vector<target_id> without_permit;

    /// `reason=… target=… considered=a:1.2,b:1.4`
    [[nodiscard]] std::string explain() const;
};

} // namespace kingcupcart::routing
