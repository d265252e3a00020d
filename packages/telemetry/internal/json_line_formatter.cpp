#include "telemetry/internal/json_line_formatter.h"

#include <nlohmann/json.hpp>
#include <spdlog/details/log_msg.h>
#include <spdlog/fmt/chrono.h>

#include <string>

namespace kingcupcart::telemetry {

namespace {

std::string text_of(spdlog::string_view_t view) {
    return {view.data(), view.size()};
}

} // namespace

void json_line_formatter::format(const spdlog::details::log_msg& message,
                                 spdlog::memory_buf_t& line) {
    const auto milliseconds = std::chrono::time_point_cast<std::chrono::milliseconds>(message.time);
    nlohmann::ordered_json object;
    object["time_ms"] = milliseconds.time_since_epoch().count();
    object["level"] = text_of(spdlog::level::to_string_view(message.level));
    object["instance"] = text_of(message.logger_name);
    object["message"] = text_of(message.payload);
    const std::string text =
        object.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    line.append(text.data(), text.data() + text.size());
}

std::unique_ptr<spdlog::formatter> json_line_formatter::clone() const {
    return std::make_unique<json_line_formatter>();
}

} // namespace kingcupcart::telemetry
