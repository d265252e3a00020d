#pragma once

namespace kingcupcart::telemetry {

/// Where log lines go.
enum class log_stream { standard_error, standard_output };

} // namespace kingcupcart::telemetry
