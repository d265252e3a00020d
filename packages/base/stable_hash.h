#pragma once

#include <cstdint>
#include <string_view>

namespace kingcupcart {

/// Returns a 64-bit hash (XXH3) that is the same on every machine and in every release.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace kingcupcart
