#pragma once

namespace kingcupcart {

/// CPU time that a process has used since its start, user and system, from /proc/PID/stat.
[[nodiscard]] double cpu_seconds(int process_id);

} // namespace kingcupcart
