#pragma once

#include "base/header_field.h"

#include <string>
#include <vector>

namespace kingcupcart::completions {

/// One event of a `text/event-stream`.
struct server_event {
    std::string id;
    /// The values of the `data` lines, joined by line feeds.
    std::string data;
    /// The fields with other names, in order.
    std::vector<header_field> others;

    [[nodiscard]] bool is_empty() const {
        return this->id.empty() && this->data.empty() && this->others.empty();
    }
};

} // namespace kingcupcart::completions
