#pragma once

#include <spdlog/sinks/sink.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>

namespace kingcupcart::telemetry {

/// Passes lines on at a bounded rate, so that a storm of decisions does not turn into a storm of
/// log lines; what is left out is counted, and said once lines pass again. Warnings and errors have
/// a budget of their own: a storm of information does not hide them.
class bounded_sink final : public spdlog::sinks::sink {
public:
    explicit bounded_sink(spdlog::sink_ptr next) : next(std::move(next)) {}

    void log(const spdlog::details::log_msg& message) override;
    void flush() override { this->next->flush(); }
    void set_pattern(const std::string& pattern) override { this->next->set_pattern(pattern); }
    void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override {
        this->next->set_formatter(std::move(formatter));
    }

    /// Lines a second in the long run, and at once: a store's decisions on some busy seconds fit, a
    /// loop that runs wild does not.
    static constexpr double lines_per_second = 500;
    static constexpr double burst_lines = 4000;

private:
    using moment = spdlog::log_clock::time_point;
    struct budget {
        double left = burst_lines;
        moment filled{};
        std::uint64_t left_out = 0;

        [[nodiscard]] bool take(moment now);
    };

    std::mutex guard;
    budget information;
    budget problems;
    spdlog::sink_ptr next;
};

} // namespace kingcupcart::telemetry
