#pragma once

#include "admission/work_class.h"
#include "base/clock.h"
#include "base/location.h"
#include "membership/directory_change.h"
#include "membership/target_load.h"
#include "requests/actions.h"
#include "requests/messages.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace kingcupcart::model {

/// The state machine that routes the requests of a simulated entry instance: the dispatcher, or a
/// baseline policy to compare it with.
template <typename Candidate>
concept request_policy = std::constructible_from<Candidate, location, std::uint64_t> &&
    requires(Candidate policy, const requests::message& incoming, time_point now,
             const membership::directory_change& change, const membership::target_load& load,
             const std::vector<admission::work_class>& classes) {
    { policy.handle(incoming, now) } -> std::same_as<requests::actions>;
    { policy.update_target(change, now) } -> std::same_as<requests::actions>;
    { policy.record_load(load) } -> std::same_as<void>;
    { policy.set_classes(classes) } -> std::same_as<void>;
    { policy.set_instances(1) } -> std::same_as<void>;
    { policy.next_wakeup() } -> std::same_as<std::optional<time_point>>;
};

} // namespace kingcupcart::model
