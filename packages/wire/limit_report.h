#pragma once

#include "base/clock.h"
#include "permits/target_limit.h"
#include "wire/messages.h"

namespace kingcupcart::wire {

/// The clocks of two instances can't be compared, so a report carries the age of its statement.
[[nodiscard]] limit_report make_limit_report(const permits::target_limit& limit, time_point now);
[[nodiscard]] permits::target_limit parse_limit_report(const limit_report& report, time_point now);

} // namespace kingcupcart::wire
