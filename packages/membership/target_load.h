#pragma once

#include "base/ids.h"

namespace kingcupcart::membership {

/// A target's report of its own load, as passed on by the instance it announced to.
struct target_load {
    target_id id;
    int running = 0;
    int waiting = 0;
};

} // namespace kingcupcart::membership
