#pragma once

#include "batch/internal/scheduled_item.h"
#include "batch/internal/text_origin.h"

namespace kingcupcart::batch {

/// The engines among which one is chosen for an item, by the origin of the item's text. On one of
/// another origin, the item starts anew.
enum class engine_choice { any, same_origin, other_origin };

[[nodiscard]] inline bool includes(engine_choice choice, const engine& candidate,
                                   const scheduled_item& item) {
    return choice == engine_choice::any ||
           (origin_of(candidate) == item.origin) == (choice == engine_choice::same_origin);
}

} // namespace kingcupcart::batch
