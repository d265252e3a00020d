#include "telemetry/log.h"

#include "telemetry/internal/bounded_sink.h"
#include "telemetry/internal/json_line_formatter.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>

namespace kingcupcart::telemetry {

namespace {

/// Lines that wait for a slow reader of the log: seconds of a busy store, under half a megabyte.
constexpr std::size_t queued_lines = 1024;

/// How long the end of a process waits for the reader of its log: long enough for what is queued,
/// short beside a planned stop.
constexpr std::chrono::milliseconds close_limit{500};

std::atomic<std::uint64_t>& left_out() {
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
    spdlog::init_thread_pool(queued_lines, 1);
    auto logger = std::make_shared<spdlog::async_logger>(
        instance, std::make_shared<bounded_sink>(std::move(sink)), spdlog::thread_pool(),
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
    // The log's own thread may hang in a write, and so would whoever waits for its end.
    auto closed = std::make_shared<std::promise<void>>();
    std::future<void> done = closed->get_future();
    std::thread([closed] {
        spdlog::shutdown();
        closed->set_value();
    }).detach();
    return done.wait_for(close_limit) == std::future_status::ready;
}

std::uint64_t left_out_lines() {
    const auto pool = spdlog::thread_pool();
    return left_out() + (pool == nullptr ? 0 : pool->overrun_counter());
}

void count_left_out_lines(std::uint64_t count) {
    left_out() += count;
}

} // namespace kingcupcart::telemetry
