#include "telemetry/internal/bounded_sink.h"

#include "telemetry/log.h"

#include <spdlog/details/log_msg.h>

#include <algorithm>
#include <string>
#include <utility>

namespace kingcupcart::telemetry {

bool bounded_sink::budget::take(moment now) {
    const double passed = std::chrono::duration<double>(now - this->filled).count();
    // The time of day may jump back.
    this->left = std::min(burst_lines, this->left + std::max(0.0, passed) * lines_per_second);
    this->filled = now;
    if (this->left < 1) {
        ++this->left_out;
        count_left_out_lines(1);
        return false;
    }
    --this->left;
    return true;
}

void bounded_sink::log(const spdlog::details::log_msg& message) {
    const std::lock_guard held(this->guard);
    budget& params = message.level >= spdlog::level::warn ? this->problems : this->information;
    if (!params.take(message.time)) {
        return;
    }
    if (const std::uint64_t count = std::exchange(params.left_out, 0); count > 0) {
        const std::string text = "log lines left out count=" + std::to_string(count);
        this->next->log(spdlog::details::log_msg(message.time, {}, message.logger_name,
                                                 spdlog::level::warn, text));
    }
    this->next->log(message);
}

} // namespace kingcupcart::telemetry
