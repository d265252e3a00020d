#pragma once

namespace kingcupcart::routing {

/// A target's own, late view of its load.
struct load_report {
    int running = 0;
    int waiting = 0;
};

} // namespace kingcupcart::routing
