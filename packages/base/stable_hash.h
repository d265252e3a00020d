#pragma once

#include <cstdint>
#include <string_view>

namespace kingcupcart {

/// The same 64-bit hash on every machine and in every release (XXH3).
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace kingcupcart
