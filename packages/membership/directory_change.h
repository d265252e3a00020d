#pragma once

#include "membership/target_record.h"

namespace kingcupcart::membership {

/// What a message did to the directory.
enum class directory_event { added, changed, restarted, renewed, removed, stale };

struct directory_change {
    directory_event event = directory_event::stale;
    target_record record;

    /// Whether other instances have to hear of it.
    [[nodiscard]] bool is_news() const {
        return this->event != directory_event::renewed && this->event != directory_event::stale;
    }
};

} // namespace kingcupcart::membership
