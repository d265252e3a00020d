#pragma once

#include "base/ids.h"
#include "entry/internal/problem.h"
#include "membership/target_record.h"
#include "requests/actions.h"

#include <concepts>

namespace kingcupcart::entry {

/// One request in progress. Each type that satisfies this concept executes the dispatcher's actions
/// for one kind of target.
template <typename Candidate>
concept call = requires(Candidate subject, const requests::send_attempt& action,
                        const membership::target_record& target, attempt_id attempt,
                        const problem& refusal) {
    { subject.start_attempt(action, target) } -> std::same_as<void>;
    { subject.select(attempt) } -> std::same_as<void>;
    { subject.cancel(attempt) } -> std::same_as<void>;
    { subject.complete() } -> std::same_as<void>;
    { subject.refuse(refusal) } -> std::same_as<void>;
    { subject.abandon() } -> std::same_as<void>;
};

} // namespace kingcupcart::entry
