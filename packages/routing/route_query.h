#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "base/urgency.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace kingcupcart::routing {

/// The request properties that determine the router's choice.
struct route_query {
    backend_name backend;
    urgency kind = urgency::short_work;
    /// The request may serve as a probe of an ejected target, because it can be attempted again.
    bool allows_probe = false;
    /// The request may use up a permit of a limited target. False for attempts beside a running
    /// one, since requests without any attempt need the permits more.
    bool allows_limited = true;
    /// Only targets of this software version are considered; empty if any may serve.
    std::optional<software_version> software;
    /// Targets that the request was sent to before.
    std::vector<target_id> excluded;
    /// Only these targets are considered; empty if any may serve.
    std::vector<target_id> only;
    /// Chained block hashes of the prompt, shortest prefix first; empty without a prompt.
    std::vector<prefix_hash> prefix;
    /// Size of the prompt; zero without a prompt, or if it is unknown.
    tokens prompt;

    [[nodiscard]] bool excludes(const target_id& target) const {
        const auto contains = [&](const std::vector<target_id>& targets) {
            return std::find(targets.begin(), targets.end(), target) != targets.end();
        };
        return contains(this->excluded) || (!this->only.empty() && !contains(this->only));
    }
};

} // namespace kingcupcart::routing
