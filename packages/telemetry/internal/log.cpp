#include "telemetry/log.h"

#include "telemetry/internal/json_line_formatter.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <memory>

namespace kingcupcart::telemetry {

void set_up_log(log_format format, log_stream stream, const std::string& level,
                const std::string& instance) {
    spdlog::sink_ptr sink;
    if (stream == log_stream::standard_output) {
        sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    } else {
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    }
    auto logger = std::make_shared<spdlog::logger>(instance, std::move(sink));
    if (format == log_format::json) {
        logger->set_formatter(std::make_unique<json_line_formatter>());
    } else {
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
    }
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::trace);
    spdlog::set_default_logger(std::move(logger));
}

} // namespace kingcupcart::telemetry
