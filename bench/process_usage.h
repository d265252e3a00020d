#pragma once

namespace kingcupcart {

/// Processor time that a process has used so far, from /proc.
[[nodiscard]] double processor_seconds(int process);

} // namespace kingcupcart
