#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace kingcupcart::batch {

/// How an item ended.
struct item_result {
    item_id item;
    /// False where the item was given up; there is no text then.
    bool is_completed = false;
    /// The data of all events, separated by line feeds.
    std::string text;
    /// All versions of the weights that generated an event of the text, in ascending order.
    std::vector<weight_version> versions;

    friend bool operator==(const item_result&, const item_result&) = default;
};

} // namespace kingcupcart::batch
