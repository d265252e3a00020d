#pragma once

namespace kingcupcart::telemetry {

/// Stream that the log is written to.
enum class log_stream { standard_error, standard_output };

} // namespace kingcupcart::telemetry
