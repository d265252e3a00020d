#pragma once

#include "base/ids.h"
#include "engines/stream_event.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace kingcupcart::store {

/// The output of an item received so far, from all its runs.
struct partial_text {
    std::string text;
    std::size_t last_event = 0;
    std::set<weight_version> versions;

    /// Returns false, and changes nothing, if the event is not the next one.
    [[nodiscard]] bool append(const engines::stream_event& event, weight_version version) {
        if (event.number != this->last_event + 1) {
            return false;
        }
        this->text += this->last_event == 0 ? "" : "\n";
        this->text += event.data;
        this->last_event = event.number;
        this->versions.insert(version);
        return true;
    }
};

} // namespace kingcupcart::store
