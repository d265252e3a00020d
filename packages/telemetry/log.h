#pragma once

#include "telemetry/log_format.h"
#include "telemetry/log_stream.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>

namespace kingcupcart::telemetry {

/// Sets up spdlog's default logger to write to the given stream. `level` is one of spdlog's level
/// names: trace, debug, info, warn, error, off. Each line contains `instance`.
///
/// Logging never blocks the caller: a background thread writes the lines from a queue that drops
/// the oldest ones when it is full. The rate of lines is limited too.
void set_up_log(log_format format, log_stream stream, const std::string& level,
                const std::string& instance);

/// Writes the queued lines and ends the background thread; the process must not log afterwards.
/// Returns false if the writes don't finish in time, because the reader of the log has stopped
/// reading: the background thread is blocked then, and the process has to exit without joining it.
[[nodiscard]] bool close_log();

/// Number of lines that the queue or the rate limit has dropped since the process started.
[[nodiscard]] std::uint64_t dropped_lines();
/// Adds to `dropped_lines`; called by the rate limit, from any thread.
void count_dropped_lines(std::uint64_t count);

} // namespace kingcupcart::telemetry
