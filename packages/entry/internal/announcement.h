#pragma once

#include "base/clock.h"
#include "base/location.h"
#include "base/outcome.h"
#include "membership/target_load.h"
#include "membership/target_record.h"

#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::entry {

/// The content of a target's announcement.
struct announcement {
    membership::target_record record;
    membership::target_load load;
    /// Prompt blocks that the target cached since its last announcement; may be late and
    /// incomplete.
    std::vector<prefix_hash> cached;
};

/// Parses the JSON of an announcement to an instance at `local_location`. Fails with
/// `invalid_input`; the message names the member. A target must announce itself to an instance of
/// its own failure domain.
[[nodiscard]] outcome<announcement> parse_announcement(std::string_view body,
                                                       const location& local_location);

} // namespace kingcupcart::entry
