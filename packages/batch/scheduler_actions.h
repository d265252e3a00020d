#pragma once

#include "base/ids.h"
#include "batch/run_id.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

/// What the item scheduler wants done. One family of small structs.
namespace kingcupcart::batch {

enum class run_cause {
    first,
    /// An earlier run ended before the item's last event.
    again,
    /// The engine before was slow or silent.
    moved
};

[[nodiscard]] inline const char* to_string(run_cause cause) {
    switch (cause) {
    case run_cause::first:
        return "first";
    case run_cause::again:
        return "again";
    case run_cause::moved:
        return "moved";
    }
    return "?";
}

/// Send the item to the engine; with `resume_after` above zero it goes on after that event.
struct start_run {
    run_id run;
    job_id job;
    item_id item;
    target_id engine;
    std::size_t resume_after = 0;
    run_cause cause = run_cause::first;
    /// For the log: runs at the engine, its pace against the median, what is expected of the item.
    int running = 0;
    double slowness = 1;
    std::int64_t expected_output = 0;
};

/// Stop the run; nothing more is reported of it.
struct cancel_run {
    run_id run;
};

/// The item's text is whole.
struct item_completed {
    job_id job;
    item_id item;
};

enum class give_up_reason { failures, impossible, too_late };

[[nodiscard]] inline const char* to_string(give_up_reason reason) {
    switch (reason) {
    case give_up_reason::failures:
        return "failures";
    case give_up_reason::impossible:
        return "impossible";
    case give_up_reason::too_late:
        return "too-late";
    }
    return "?";
}

struct item_given_up {
    job_id job;
    item_id item;
    give_up_reason reason = give_up_reason::failures;
};

/// What was kept of the item's text is of no more use.
struct item_dropped {
    item_id item;
};

using scheduler_action =
    std::variant<start_run, cancel_run, item_completed, item_given_up, item_dropped>;
using scheduler_actions = std::vector<scheduler_action>;

} // namespace kingcupcart::batch
