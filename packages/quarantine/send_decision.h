#pragma once

#include "base/clock.h"

namespace kingcupcart::quarantine {

/// How a request may be sent.
enum class send_permission {
    free,
    /// Without a hedge or another copy at the same time.
    alone,
    /// As `alone`; the attempt is a trial.
    trial,
    /// Not now: a trial has to be granted, or another copy has to end first.
    wait,
    refused
};

[[nodiscard]] const char* to_string(send_permission permission);

struct send_decision {
    send_permission permission = send_permission::free;
    /// If refused: delay after which a retry may succeed; zero if none will soon.
    duration retry_after{};
};

} // namespace kingcupcart::quarantine
