#pragma once

#include <spdlog/sinks/sink.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>

namespace kingcupcart::telemetry {

/// Forwards lines to the next sink at a limited rate, so that a burst of lines does not flood
/// the log. Dropped lines are counted, and the count is logged once lines are forwarded again.
/// Warnings and errors have a token bucket of their own, so that a flood of info lines does not
/// suppress them.
class rate_limited_sink final : public spdlog::sinks::sink {
public:
    explicit rate_limited_sink(spdlog::sink_ptr next) : next(std::move(next)) {}

    void log(const spdlog::details::log_msg& message) override;
    void flush() override { this->next->flush(); }
    void set_pattern(const std::string& pattern) override { this->next->set_pattern(pattern); }
    void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override {
        this->next->set_formatter(std::move(formatter));
    }

    /// Sustained rate and burst size: enough for the decisions that a store logs in several
    /// busy seconds, but not for the output of a runaway loop.
    static constexpr double lines_per_second = 500;
    static constexpr double burst_lines = 4000;

private:
    using log_time_point = spdlog::log_clock::time_point;
    struct token_bucket {
        double tokens = burst_lines;
        log_time_point refilled_at{};
        std::uint64_t dropped = 0;

        /// False if the line has to be dropped.
        [[nodiscard]] bool try_consume(log_time_point now);
    };

    std::mutex mutex;
    token_bucket info_bucket;
    token_bucket warning_bucket;
    spdlog::sink_ptr next;
};

} // namespace kingcupcart::telemetry
