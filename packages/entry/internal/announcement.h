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

/// What a target says when it announces itself.
struct announcement {
    membership::target_record record;
    membership::target_load load;
    /// Prompt blocks that it has cached since its last announcement; late and with gaps.
    std::vector<prefix_hash> cached;
};

/// Reads the JSON of an announcement to an instance at `here`. Fails with `invalid_input`, naming
/// the member; a target announces itself only within its own failure domain.
[[nodiscard]] outcome<announcement> parse_announcement(std::string_view body, const location& here);

} // namespace kingcupcart::entry
