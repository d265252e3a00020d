#pragma once

#include <cstddef>

namespace kingcupcart::daemon {

/// Blocks of this size and more are mapped on their own and go back to the system when they are
/// freed. glibc starts with this value, but raises it up to 32 MiB once a mapped block is freed;
/// larger blocks that grow and are freed then leave holes in the heap of each thread.
inline constexpr std::size_t mapped_block_bytes = 128UL * 1024;
/// Free memory that a heap keeps at its end. glibc's initial value, which it raises with the one
/// above.
inline constexpr std::size_t kept_free_bytes = 128UL * 1024;

/// Makes the allocator return freed memory to the system, so that the process holds what it uses.
/// Call it before any task starts.
void limit_retained_memory();

} // namespace kingcupcart::daemon
