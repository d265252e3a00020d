#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/item_rank.h"
#include "batch/run_id.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

/// Actions that the item scheduler requests from its caller.
namespace kingcupcart::batch {

/// Why a run starts.
enum class run_cause {
    first,
    /// An earlier run ended before the item's last event, or its text is not usable.
    again,
    /// The previous engine was slow, or sent no event in time.
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

/// Send the item to the engine. If `resume_after` is above zero, the item resumes after that event.
struct start_run {
    run_id run;
    job_id job;
    item_id item;
    target_id engine;
    std::size_t resume_after = 0;
    run_cause cause = run_cause::first;
    /// For the log only: number of other runs on the engine, its slowness against the median, and
    /// the expected output of the item in tokens.
    int running = 0;
    double slowness = 1;
    std::int64_t expected_output = 0;
};

/// Cancel the run. The scheduler ignores later messages about it.
struct cancel_run {
    run_id run;
};

/// The item's text is complete.
struct item_completed {
    job_id job;
    item_id item;
    item_rank rank = item_rank::required;
};

/// Why an item is given up: too many failed runs, an engine rejected it for good, or its time limit
/// passed.
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

/// The item ends without a text.
struct item_given_up {
    job_id job;
    item_id item;
    give_up_reason reason = give_up_reason::failures;
};

/// Discard the stored events of the item's text.
struct discard_item_text {
    item_id item;
};

/// Why an item's events are thrown away for the sake of the software version that sent them.
enum class restart_reason {
    /// No engine of that version could take the item.
    version_gone,
    /// The engines of that version were full for longer than the events are worth.
    version_full,
    /// The item's engine is slow, none of that version is better, and another version is expected
    /// to complete the item earlier even from its start.
    version_slow,
    /// An engine restarted as another version, and either may have sent the events.
    version_unknown
};

[[nodiscard]] inline const char* to_string(restart_reason reason) {
    switch (reason) {
    case restart_reason::version_gone:
        return "version-gone";
    case restart_reason::version_full:
        return "version-full";
    case restart_reason::version_slow:
        return "version-slow";
    case restart_reason::version_unknown:
        return "version-unknown";
    }
    return "?";
}

/// The received events of the item are discarded, and its next run starts anew.
struct item_restarted {
    job_id job;
    item_id item;
    /// The version that the events were ascribed to.
    software_version software;
    std::size_t events = 0;
    tokens size;
    restart_reason reason = restart_reason::version_gone;
    /// How long the item has been without an event since it first waited for an engine.
    duration waited{};
};

using scheduler_action = std::variant<start_run, cancel_run, item_completed, item_given_up,
                                      discard_item_text, item_restarted>;
using scheduler_actions = std::vector<scheduler_action>;

} // namespace kingcupcart::batch
