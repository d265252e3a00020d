#pragma once

#include "telemetry/log_format.h"
#include "telemetry/log_stream.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>

namespace kingcupcart::telemetry {

/// Sends spdlog's default logger to the given stream. `level` is one of spdlog's names: trace,
/// debug, info, warn, error, off. `instance` is named in each line.
///
/// A line never waits for its reader: a thread of its own writes, from a queue that drops its
/// oldest lines when it is full. The rate of lines is bounded too.
void set_up_log(log_format format, log_stream stream, const std::string& level,
                const std::string& instance);

/// Writes what is queued, and ends the thread; nothing is logged afterwards. False where the reader
/// takes nothing any more: the thread hangs then, and the process has to end without it.
[[nodiscard]] bool close_log();

/// Lines that were dropped or left out since the start.
[[nodiscard]] std::uint64_t left_out_lines();
void count_left_out_lines(std::uint64_t count);

} // namespace kingcupcart::telemetry
