#pragma once

#include "membership/target_record.h"

namespace kingcupcart::membership {

/// The effect of a message or an expired lease on the directory.
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

    /// Whether the target was added, changed, restarted or removed, so that other instances have to
    /// be notified; false for a renewed lease and for a stale record.
    [[nodiscard]] bool is_record_change() const {
        return this->event != directory_event::renewed && this->event != directory_event::stale;
    }
};

} // namespace kingcupcart::membership
