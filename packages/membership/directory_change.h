#pragma once

#include "membership/target_record.h"

namespace kingcupcart::membership {

/// What a message did to the directory.
enum class directory_event { added, changed, restarted, renewed, removed, stale };

[[nodiscard]] inline const char* to_string(directory_event event) {
    switch (event) {
    case directory_event::added:
        return "added";
    case directory_event::changed:
        return "changed";
    case directory_event::restarted:
        return "restarted";
    case directory_event::renewed:
        return "renewed";
    case directory_event::removed:
        return "removed";
    case directory_event::stale:
        return "stale";
    }
    return "?";
}

struct directory_change {
    directory_event event = directory_event::stale;
    target_record record;

    /// Whether other instances have to hear of it.
    [[nodiscard]] bool is_news() const {
        return this->event != directory_event::renewed && this->event != directory_event::stale;
    }
};

} // namespace kingcupcart::membership
