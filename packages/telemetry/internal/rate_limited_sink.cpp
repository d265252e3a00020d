#include "telemetry/internal/rate_limited_sink.h"

#include "telemetry/log.h"

#include <spdlog/details/log_msg.h>

#include <algorithm>
#include <string>
#include <utility>

namespace kingcupcart::telemetry {

bool rate_limited_sink::token_bucket::try_consume(log_time_point now) {
    const double elapsed_seconds = std::chrono::duration<double>(now - this->refilled_at).count();
    // The system clock may be set back.
    this->tokens =
        std::min(burst_lines, this->tokens + std::max(0.0, elapsed_seconds) * lines_per_second);
    this->refilled_at = now;
    if (this->tokens < 1) {
        ++this->dropped;
        count_dropped_lines(1);
        return false;
    }
    --this->tokens;
    return true;
}

void rate_limited_sink::log(const spdlog::details::log_msg& message) {
    const std::lock_guard lock(this->mutex);
    token_bucket& bucket =
        message.level >= spdlog::level::warn ? this->warning_bucket : this->info_bucket;
    if (!bucket.try_consume(message.time)) {
        return;
    }
    if (const std::uint64_t count = std::exchange(bucket.dropped, 0); count > 0) {
        const std::string text = "log lines dropped count=" + std::to_string(count);
        this->next->log(spdlog::details::log_msg(message.time, {}, message.logger_name,
                                                 spdlog::level::warn, text));
    }
    this->next->log(message);
}

} // namespace kingcupcart::telemetry
