#pragma once

#include "quorum/member.h"

#include <cstdint>

namespace kingcupcart::quorum {

[[nodiscard]] inline log_index after(log_index index, std::uint64_t by = 1) {
    return log_index(index.value() + by);
}

[[nodiscard]] inline log_index before(log_index index) {
    return log_index(index.value() - 1);
}

} // namespace kingcupcart::quorum
