// Sends the same load to a stand-in engine directly and through an entry instance, and prints the
// latency and CPU time that the instance adds. Times are wall-clock times, which
// depend on the machine, so the bench prints the figures and checks no limit.
#include "process/deployment.h"
#include "process_usage.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;

namespace {

struct load_result {
    double median_ms = 0;
    double p99_ms = 0;
    double requests_per_second = 0;
};

load_result run_load(deployment& test_deployment, const http::request& request, int connections,
                     int count) {
    using clock = std::chrono::steady_clock;
    std::vector<double> latencies_ms;
    struct connection_slot {
        std::unique_ptr<client_call> call;
        clock::time_point started_at;
    };
    std::vector<connection_slot> slots(static_cast<std::size_t>(connections));
    const auto load_start = clock::now();
    int started_calls = 0;
    while (static_cast<int>(latencies_ms.size()) < count) {
        for (connection_slot& connection : slots) {
            if (connection.call && connection.call->is_completed) {
                const std::chrono::duration<double, std::milli> latency =
                    connection.call->completed_at - connection.started_at;
                latencies_ms.push_back(latency.count());
                connection.call.reset();
            }
            if (!connection.call && started_calls < count) {
                connection.started_at = clock::now();
                connection.call = test_deployment.begin(request);
                ++started_calls;
            }
        }
        test_deployment.run_once();
    }
    const std::chrono::duration<double> total = clock::now() - load_start;
    std::sort(latencies_ms.begin(), latencies_ms.end());
    load_result result;
    result.median_ms = latencies_ms[latencies_ms.size() / 2];
    result.p99_ms = latencies_ms[latencies_ms.size() * 99 / 100];
    result.requests_per_second = count / total.count();
    return result;
}

} // namespace

int main() {
    deployment test_deployment;
    auto& entry = test_deployment.add_entry();
    auto& engine = test_deployment.add_engine("g1", entry, {"--first-us", "0", "--slots", "256"});
    if (!test_deployment.wait_for_targets(entry, 1)) {
        return 1;
    }
    const std::string body = R"({"model":"stylist-lm","prompt":"veil","max_tokens":1})";
    const http::request routed_request = post(entry, "/v1/completions", body);
    http::request direct_request = routed_request;
    direct_request.url = "http://" + engine.value("address") + "/v1/completions";
    std::printf("%-12s %-8s %10s %10s %10s %14s\n", "connections", "way", "median ms", "p99 ms",
                "per s", "entry CPU us");
    for (const int connections : {1, 16}) {
        constexpr int warm_up_requests = 200;
        constexpr int measured_requests = 4000;
        run_load(test_deployment, direct_request, connections, warm_up_requests);
        run_load(test_deployment, routed_request, connections, warm_up_requests);
        const load_result direct_result =
            run_load(test_deployment, direct_request, connections, measured_requests);
        const double cpu_before = cpu_seconds(entry.id());
        const load_result routed_result =
            run_load(test_deployment, routed_request, connections, measured_requests);
        const double cpu_us_per_request =
            (cpu_seconds(entry.id()) - cpu_before) * 1e6 / measured_requests;
        std::printf("%-12d %-8s %10.3f %10.3f %10.0f\n", connections, "direct",
                    direct_result.median_ms, direct_result.p99_ms,
                    direct_result.requests_per_second);
        std::printf("%-12d %-8s %10.3f %10.3f %10.0f %14.0f\n", connections, "routed",
                    routed_result.median_ms, routed_result.p99_ms,
                    routed_result.requests_per_second, cpu_us_per_request);
        std::printf("%-12d %-8s %10.3f\n", connections, "added",
                    routed_result.median_ms - direct_result.median_ms);
    }
    return 0;
}
