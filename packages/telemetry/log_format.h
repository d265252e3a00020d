#pragma once

namespace kingcupcart::telemetry {

/// How log lines look on standard error.
enum class log_format { text, json };

} // namespace kingcupcart::telemetry
