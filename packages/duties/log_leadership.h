#pragma once

#include "base/ids.h"

namespace kingcupcart::duties {

/// What the replicated log says of the local member at a moment.
struct log_leadership {
    /// The local member leads, and at this moment no other member can have been elected.
    bool is_sure = false;
    fencing_token term;
};

} // namespace kingcupcart::duties
