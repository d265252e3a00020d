#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace kingcupcart::batch {

/// Final result of an item.
struct item_result {
    item_id item;
    /// False if the item was given up; `text` is empty then.
    bool is_completed = false;
    /// The data of all events, separated by line feeds.
    std::string text;
    /// Versions of the weights that generated the text, in ascending order.
    std::vector<weight_version> versions;
    /// Signature of the response to the item's score request; empty if the item has none.
    std::string score;

    friend bool operator==(const item_result&, const item_result&) = default;
};

} // namespace kingcupcart::batch
