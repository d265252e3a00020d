#pragma once

#include "base/ids.h"

#include <cstddef>
#include <variant>
#include <vector>

/// Actions that the score scheduler requests from its caller.
namespace kingcupcart::batch {

/// Send the item's score request.
struct request_score {
    job_id job;
    item_id item;
    /// For the log only: earlier requests of the item, and requests in progress.
    std::size_t earlier_requests = 0;
    std::size_t in_progress = 0;
};

/// The item ends without a score: the service failed too often.
struct score_given_up {
    job_id job;
    item_id item;
};

using score_action = std::variant<request_score, score_given_up>;
using score_actions = std::vector<score_action>;

} // namespace kingcupcart::batch
