#pragma once

#include "accounts/api_key.h"
#include "base/ids.h"

#include <optional>
#include <vector>

namespace kingcupcart::accounts {

/// A client account as the configuration lists it.
struct account {
    account_name name;
    std::vector<api_key> keys;
    /// 0 is the highest priority; empty if the priority of the route applies.
    std::optional<int> priority;
};

} // namespace kingcupcart::accounts
