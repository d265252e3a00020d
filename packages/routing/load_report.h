#pragma once

namespace kingcupcart::routing {

/// Load as the target reports it; out of date by the time it arrives.
struct load_report {
    int running = 0;
    int waiting = 0;
};

} // namespace kingcupcart::routing
