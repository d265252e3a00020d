#include "telemetry/log.h"

#include "telemetry/internal/json_line_formatter.h"
#include "telemetry/internal/rate_limited_sink.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>

namespace kingcupcart::telemetry {

namespace {

/// Lines that are queued for a slow reader of the log: a few seconds of a busy store's output, less
/// than half a megabyte.
constexpr std::size_t queue_capacity_lines = 1024;

/// How long an exiting process waits for the queued lines to be written: enough for a full queue,
/// and short compared to a planned stop.
constexpr std::chrono::milliseconds close_timeout{500};

std::atomic<std::uint64_t>& dropped_count() {
    static std::atomic<std::uint64_t> count = 0;
    return count;
}

} // namespace

void set_up_log(log_format format, log_stream stream, const std::string& level,
                const std::string& instance) {
    spdlog::sink_ptr sink;
    if (stream == log_stream::standard_output) {
        sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    } else {
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    }
    spdlog::init_thread_pool(queue_capacity_lines, 1);
    auto logger = std::make_shared<spdlog::async_logger>(
        instance, std::make_shared<rate_limited_sink>(std::move(sink)), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    if (format == log_format::json) {
        logger->set_formatter(std::make_unique<json_line_formatter>());
    } else {
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
    }
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(std::move(logger));
}

bool close_log() {
    // The background thread may be blocked in a write, and `shutdown` joins it: run that on a
    // thread that can be abandoned.
    auto closed = std::make_shared<std::promise<void>>();
    std::future<void> done = closed->get_future();
    std::thread([closed] {
        spdlog::shutdown();
        closed->set_value();
    }).detach();
    return done.wait_for(close_timeout) == std::future_status::ready;
}

std::uint64_t dropped_lines() {
    const auto pool = spdlog::thread_pool();
    return dropped_count() + (pool == nullptr ? 0 : pool->overrun_counter());
}

void count_dropped_lines(std::uint64_t count) {
    dropped_count() += count;
}

} // namespace kingcupcart::telemetry
