#pragma once

#include "base/ids.h"
#include "batch/item_rank.h"
#include "batch/scheduler_messages.h"

#include <cstddef>
#include <variant>

/// Input messages of the score scheduler.
namespace kingcupcart::batch {

/// The text of an item is complete and needs a score.
struct text_completed {
    job_id job;
    item_id item;
    item_rank rank = item_rank::required;
    /// Failed requests after which the item is given up.
    std::size_t max_failures = 1;
};

/// The item's request was answered with success.
struct score_received {
    item_id item;
};

/// Why a score request ended without a score.
enum class score_failure {
    /// The service processed the request and responded with an error.
    failed,
    /// The request did not run, or its response was lost.
    unanswered
};

[[nodiscard]] inline const char* to_string(score_failure failure) {
    switch (failure) {
    case score_failure::failed:
        return "failed";
    case score_failure::unanswered:
        return "unanswered";
    }
    return "?";
}

struct score_failed {
    item_id item;
    score_failure failure = score_failure::unanswered;
};

using score_message =
    std::variant<text_completed, job_closed, score_received, score_failed, timer_expired>;

} // namespace kingcupcart::batch
