#pragma once

#include "telemetry/log_format.h"
#include "telemetry/log_stream.h"

#include <spdlog/spdlog.h>

#include <string>

namespace kingcupcart::telemetry {

/// Sends spdlog's default logger to standard error in the given format. `level` is one of spdlog's
/// names: trace, debug, info, warn, error, off. `instance` is named in each line.
void set_up_log(log_format format, log_stream stream, const std::string& level,
                const std::string& instance);

} // namespace kingcupcart::telemetry
