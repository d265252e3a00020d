#include "telemetry/metric_set.h"

#include <doctest/doctest.h>

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
        CHECK(text.find("kingcupcart_request_seconds_count{class=\"query\"} 1000\n") !=
              std::string::npos);
    }
}
