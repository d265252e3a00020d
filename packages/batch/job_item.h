#pragma once

#include "base/header_field.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/score_request.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::batch {

/// One request of a batch job, as sent to an engine.
struct job_item {
    item_id id;
    item_group_id group;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    tokens prompt;
    tokens max_output;
    /// The submitter's estimate of the output length; zero if there is none.
    tokens output_hint;
    /// Requested once the text is complete; its response is the score of the result.
    std::optional<score_request> scorer;
};

} // namespace kingcupcart::batch
