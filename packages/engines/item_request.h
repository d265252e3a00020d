#pragma once

#include "batch/job_item.h"

#include <cstddef>
#include <string>

namespace kingcupcart::engines {

/// One item of a batch job that is to be run on an engine.
struct item_request {
    const batch::job_item& item;
    /// Host under which the job was submitted.
    const std::string& host;
    /// The run resumes after the event with this number; 0 for a run from the start.
    std::size_t resume_after = 0;
};

} // namespace kingcupcart::engines
