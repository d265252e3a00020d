#pragma once

#include "base/clock.h"

#include <chrono>

namespace kingcupcart::accounts {

/// For how long an instance uses the keys of its configuration while it reaches no keeper, which
/// may have a later configuration without some of them.
struct revocation_limits {
    /// Time within which a revoked key is refused, counted from the acknowledgement of the
    /// configuration.
    duration revoke_time = std::chrono::seconds(5);
    /// Whether keys are refused once that time has passed without contact.
    bool is_fail_closed = false;

    /// `since_contact` is the time since the last contact with any keeper.
    [[nodiscard]] bool permits_keys(duration since_contact) const {
        return !this->is_fail_closed || since_contact < this->revoke_time;
    }
};

} // namespace kingcupcart::accounts
