#include "telemetry/internal/bounded_sink.h"
#include "telemetry/log.h"
#include "telemetry/metric_set.h"

#include <doctest/doctest.h>
#include <spdlog/sinks/base_sink.h>

#include <string>
#include <vector>

using namespace kingcupcart;
using namespace std::chrono_literals;

SCENARIO("a metric set prints what a scraper reads") {
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
    THEN("gauges keep the last value") {
        CHECK(text.find("kingcupcart_targets 12\n") != std::string::npos);
    }
    THEN("summaries have quantiles, in seconds, beside their own labels") {
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

/// Keeps the lines that reach it.
class kept_lines final : public spdlog::sinks::base_sink<std::mutex> {
public:
    std::vector<std::string> lines;

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        this->lines.emplace_back(message.payload.data(), message.payload.size());
    }
    void flush_() override {}
};

} // namespace

SCENARIO("the log's volume is bounded") {
    const auto kept = std::make_shared<kept_lines>();
    telemetry::bounded_sink bounded(kept);
    auto now = spdlog::log_clock::time_point(24h);
    const auto log = [&](spdlog::level::level_enum level, const std::string& text) {
        bounded.log(spdlog::details::log_msg(now, {}, "test", level, text));
    };
    GIVEN("a storm of lines at one moment") {
        const auto before = telemetry::left_out_lines();
        const auto most = static_cast<std::size_t>(telemetry::bounded_sink::burst_lines);
        for (std::size_t i = 0; i < most + 100; ++i) {
            log(spdlog::level::info, "decision");
        }
        THEN("a burst passes, and the rest is counted") {
            CHECK(kept->lines.size() == most);
            CHECK(telemetry::left_out_lines() - before == 100);
        }
        THEN("an error is not lost in it") {
            log(spdlog::level::err, "disk full");
            CHECK(kept->lines.back() == "disk full");
        }
        WHEN("a second has passed") {
            now += 1s;
            log(spdlog::level::info, "later");
            THEN("lines pass again, and the gap is named") {
                REQUIRE(kept->lines.size() == most + 2);
                CHECK(kept->lines[most] == "log lines left out count=100");
                CHECK(kept->lines[most + 1] == "later");
            }
        }
        WHEN("the time of day jumps back") {
            now -= 1h;
            log(spdlog::level::info, "earlier");
            THEN("nothing is gained by it") {
                CHECK(kept->lines.size() == most);
            }
        }
    }
}
