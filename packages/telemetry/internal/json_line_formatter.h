#pragma once

#include <spdlog/formatter.h>

#include <memory>

namespace kingcupcart::telemetry {

/// Formats each log line as a JSON object with `time_ms`, `level`, `instance` and `message`.
class json_line_formatter final : public spdlog::formatter {
public:
    void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& line) override;
    [[nodiscard]] std::unique_ptr<spdlog::formatter> clone() const override;
};

} // namespace kingcupcart::telemetry
