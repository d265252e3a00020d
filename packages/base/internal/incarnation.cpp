#include "base/incarnation.h"

#include <chrono>

namespace kingcupcart {

incarnation_id new_incarnation() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(now);
    return incarnation_id(static_cast<std::uint64_t>(microseconds.count()));
}

} // namespace kingcupcart
