#pragma once

namespace kingcupcart {

/// Short work is what a person waits for; long work fills the room that short work leaves.
enum class urgency { short_work, long_work };

} // namespace kingcupcart
