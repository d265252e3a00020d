#pragma once

namespace kingcupcart {

/// The urgency of a work class. A person waits for short work; long work uses the capacity that
/// short work leaves.
enum class urgency { short_work, long_work };

} // namespace kingcupcart
