#pragma once

namespace kingcupcart::telemetry {

/// Format of the log lines.
enum class log_format { text, json };

} // namespace kingcupcart::telemetry
