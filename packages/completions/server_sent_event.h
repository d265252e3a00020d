#pragma once

#include "base/header_field.h"

#include <string>
#include <vector>

namespace kingcupcart::completions {

/// One event of a `text/event-stream`.
struct server_sent_event {
    std::string id;
    /// The values of the `data` lines, joined by line feeds.
    std::string data;
    /// The fields with other names, in order.
    std::vector<header_field> other_fields;

    [[nodiscard]] bool is_empty() const {
        return this->id.empty() && this->data.empty() && this->other_fields.empty();
    }
};

} // namespace kingcupcart::completions
