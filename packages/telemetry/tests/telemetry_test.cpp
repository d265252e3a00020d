#include "telemetry/internal/rate_limited_sink.h"
#include "telemetry/log.h"
#include "telemetry/metric_set.h"

#include <doctest/doctest.h>
#include <spdlog/sinks/base_sink.h>

#include <string>
#include <vector>

using namespace kingcupcart;
using namespace std::chrono_literals;

SCENARIO("a metric set is printed in the format that a scraper reads") {
    telemetry::metric_set metrics;
    metrics.count("requests_total{outcome=\"answered\"}");
    metrics.count("requests_total{outcome=\"answered\"}", 2);
    metrics.set("targets", 12);
    for (int i = 1; i <= 1000; ++i) {
        metrics.observe("request_seconds{class=\"query\"}", i * 1ms);
    }
    const std::string text = metrics.exposition();
    THEN("counters add up") {
        CHECK(text.find("kingcupcart_requests_total{outcome=\"answered\"} 3\n") !=
              std::string::npos);
    }
    THEN("gauges hold the last value") {
        CHECK(text.find("kingcupcart_targets 12\n") != std::string::npos);
    }
    THEN("summaries have quantiles in seconds and keep their labels") {
        const std::string label = "{class=\"query\",quantile=\"0.5\"} ";
        const auto at = text.find("kingcupcart_request_seconds" + label);
        REQUIRE(at != std::string::npos);
        const double median = std::stod(text.substr(at + 27 + label.size()));
        CHECK(median == doctest::Approx(0.5).epsilon(0.05));
        CHECK(text.find("kingcupcart_request_seconds_bucket{class=\"query\",le=\"0.25\"} 250\n") !=
              std::string::npos);
        CHECK(text.find("kingcupcart_request_seconds_bucket{class=\"query\",le=\"+Inf\"} 1000\n") !=
              std::string::npos);
        CHECK(text.find("kingcupcart_request_seconds_count{class=\"query\"} 1000\n") !=
              std::string::npos);
    }
}

namespace {

/// Records the lines that it receives.
class recording_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    std::vector<std::string> lines;

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        this->lines.emplace_back(message.payload.data(), message.payload.size());
    }
    void flush_() override {}
};

} // namespace

SCENARIO("the rate of log lines is limited") {
    const auto recorder = std::make_shared<recording_sink>();
    telemetry::rate_limited_sink sink(recorder);
    auto now = spdlog::log_clock::time_point(24h);
    const auto log = [&](spdlog::level::level_enum level, const std::string& text) {
        sink.log(spdlog::details::log_msg(now, {}, "test", level, text));
    };
    GIVEN("a flood of lines at the same moment") {
        const auto before = telemetry::dropped_lines();
        const auto burst = static_cast<std::size_t>(telemetry::rate_limited_sink::burst_lines);
        for (std::size_t i = 0; i < burst + 100; ++i) {
            log(spdlog::level::info, "decision");
        }
        THEN("a burst is forwarded, and the other lines are dropped and counted") {
            CHECK(recorder->lines.size() == burst);
            CHECK(telemetry::dropped_lines() - before == 100);
        }
        THEN("an error is still logged") {
            log(spdlog::level::err, "disk full");
            CHECK(recorder->lines.back() == "disk full");
        }
        WHEN("a second passes") {
            now += 1s;
            log(spdlog::level::info, "later");
            THEN("lines are forwarded again, after a line with the number of dropped ones") {
                REQUIRE(recorder->lines.size() == burst + 2);
                CHECK(recorder->lines[burst] == "log lines dropped count=100");
                CHECK(recorder->lines[burst + 1] == "later");
            }
        }
        WHEN("the system clock is set back") {
            now -= 1h;
            log(spdlog::level::info, "earlier");
            THEN("no further line is forwarded") {
                CHECK(recorder->lines.size() == burst);
            }
        }
    }
}
