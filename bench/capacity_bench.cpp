// Cost of a routing decision, a target, a message and an idle instance, each at several sizes, so
// that docs/CAPACITY.md can state how it grows. Times are wall-clock times, which depend on
// the machine, so the bench prints the figures and checks no limit.
#include "membership/directory.h"
#include "process/deployment.h"
#include "process_usage.h"
#include "requests/dispatcher.h"
#include "routing/router.h"
#include "wire/codec.h"

#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;

namespace {

const location local_location{failure_domain_id("domain-01"), region_id("region-1")};

double duration_seconds(const std::function<void()>& work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

membership::target_record make_target_record(int number) {
    membership::target_record record;
    record.id = target_id("engine-domain-01-" + std::to_string(number));
    record.backend = backend_name("stylist-lm");
    record.address = endpoint{"10.11.12.13", 8000};
    record.place = local_location;
    record.slots = 32;
    record.incarnation = incarnation_id(1796369801783267);
    return record;
}

void measure_routing_decisions() {
    std::printf("routing decision, of any software version, and of one that two targets have\n"
                "%8s %12s %12s\n",
                "targets", "ns", "ns");
    for (const int count : {12, 60, 200, 600}) {
        routing::router router(local_location, {}, 1);
        const software_version rare("2");
        for (int i = 0; i < count; ++i) {
            const auto record = make_target_record(i);
            router.update_target({record.id, record.backend, record.place, record.slots, false,
                                  i < 2 ? rare : software_version("1")});
        }
        routing::route_query query;
        query.backend = backend_name("stylist-lm");
        time_point now{};
        const auto decision_ns = [&] {
            constexpr int rounds = 200000;
            const double total_seconds = duration_seconds([&] {
                for (int i = 0; i < rounds; ++i) {
                    now += std::chrono::microseconds(100);
                    const auto choice = router.choose(query, now);
                    router.record_sent(*choice.target, urgency::short_work, now);
                    router.record_finished(*choice.target, urgency::short_work, now, false, now);
                }
            });
            return total_seconds / rounds * 1e9;
        };
        const double any_version_ns = decision_ns();
        query.software = rare;
        std::printf("%8d %12.0f %12.0f\n", count, any_version_ns, decision_ns());
    }
}

void measure_memory() {
    std::printf("memory of the decision parts\n%8s %12s\n", "targets", "bytes each");
    for (const int count : {60, 200, 600}) {
        const auto allocated_before = mallinfo2().uordblks;
        requests::dispatcher dispatcher(local_location, {}, 1);
        membership::directory directory(local_location);
        for (int i = 0; i < count; ++i) {
            const auto change =
                directory.announce(make_target_record(i), std::chrono::seconds(6), {});
            static_cast<void>(dispatcher.update_target(change, {}));
        }
        const auto allocated_after = mallinfo2().uordblks;
        std::printf("%8d %12zu\n", count,
                    (allocated_after - allocated_before) / static_cast<std::size_t>(count));
    }
}

void measure_dispatcher() {
    std::printf("dispatcher, one request from arrival to answer, 8 tokens\n%8s %12s\n", "targets",
                "us");
    for (const int count : {12, 60, 600}) {
        requests::dispatcher dispatcher(local_location, {}, 1);
        dispatcher.set_classes({{work_class_name("query"), urgency::short_work}});
        membership::directory directory(local_location);
        for (int i = 0; i < count; ++i) {
            static_cast<void>(dispatcher.update_target(
                directory.announce(make_target_record(i), std::chrono::seconds(6), {}), {}));
        }
        constexpr int rounds = 20000;
        time_point now{std::chrono::seconds(1)};
        const double total_seconds = duration_seconds([&] {
            for (int i = 0; i < rounds; ++i) {
                now += std::chrono::microseconds(500);
                requests::request_profile profile;
                profile.id = request_id(static_cast<std::uint64_t>(i) + 1);
                profile.backend = backend_name("stylist-lm");
                profile.work_class = work_class_name("query");
                profile.repeatable = true;
                profile.resumable = true;
                const auto actions = dispatcher.handle(requests::request_arrived{profile}, now);
                const auto attempt = std::get<requests::send_attempt>(actions.front()).attempt;
                for (int token = 0; token < 8; ++token) {
                    static_cast<void>(
                        dispatcher.handle(requests::attempt_progressed{attempt, tokens(1)}, now));
                }
                static_cast<void>(dispatcher.handle(requests::attempt_completed{attempt}, now));
                static_cast<void>(dispatcher.handle(requests::timer_expired{}, now));
            }
        });
        std::printf("%8d %12.2f\n", count, total_seconds / rounds * 1e6);
    }
}

void measure_message_sizes() {
    std::printf("messages, bytes of CBOR\n");
    std::printf("  target news %zu\n",
                wire::encode(wire::target_update{make_target_record(1)}).size());
    for (const int count : {0, 2, 20, 60}) {
        wire::target_heartbeats heartbeats;
        for (int i = 0; i < count; ++i) {
            heartbeats.targets.push_back({make_target_record(i).id, 20, 3});
        }
        std::printf("  vouching for %d targets %zu\n", count, wire::encode(heartbeats).size());
    }
    std::printf("  heartbeat between keepers %zu\n",
                wire::encode(wire::consensus_message{quorum::append_entries_request{}}).size());
    std::printf("  instance news %zu\n",
                wire::encode(wire::instance_update{{instance_id("domain-01-entry-33"),
                                                    endpoint{"10.11.12.13", 7001}}})
                    .size());
}

double resident_mib(int process_id) {
    std::ifstream file("/proc/" + std::to_string(process_id) + "/statm");
    long total_pages = 0;
    long resident_pages = 0;
    file >> total_pages >> resident_pages;
    return static_cast<double>(resident_pages) * static_cast<double>(sysconf(_SC_PAGESIZE)) /
           1048576;
}

/// Bytes that the instance has sent and received on its links to other instances.
double link_bytes(deployment& test_deployment, child_process& instance) {
    http::request request;
    request.url = "http://" + instance.value("admin") + "/metrics";
    const std::string text = test_deployment.call(request)->body;
    double total = 0;
    for (const char* name : {"kingcupcart_link_bytes_sent ", "kingcupcart_link_bytes_received "}) {
        const auto position = text.find(name);
        total += position == std::string::npos
                     ? 0
                     : std::stod(text.substr(position + std::string(name).size()));
    }
    return total;
}

void measure_idle_instances() {
    std::printf("idle entry instances of one domain, one target each, lease 1.5 s\n");
    std::printf("%10s %14s %12s %10s\n", "instances", "bytes/s both", "CPU % core", "MiB");
    for (const int count : {2, 4, 8, 16}) {
        deployment test_deployment;
        test_deployment.add_keeper();
        std::vector<child_process*> entries;
        for (int i = 0; i < count; ++i) {
            entries.push_back(&test_deployment.add_entry());
            test_deployment.add_engine("g" + std::to_string(i), *entries.back());
        }
        test_deployment.wait_for_targets(*entries[0], static_cast<std::size_t>(count));
        test_deployment.wait(std::chrono::seconds(2));
        const double bytes_before = link_bytes(test_deployment, *entries[0]);
        const double cpu_before = cpu_seconds(entries[0]->id());
        constexpr int measured_seconds = 8;
        test_deployment.wait(std::chrono::seconds(measured_seconds));
        std::printf("%10d %14.0f %12.2f %10.1f\n", count,
                    (link_bytes(test_deployment, *entries[0]) - bytes_before) / measured_seconds,
                    (cpu_seconds(entries[0]->id()) - cpu_before) / measured_seconds * 100,
                    resident_mib(entries[0]->id()));
        std::fflush(stdout);
    }
}

} // namespace

int main() {
    measure_routing_decisions();
    measure_dispatcher();
    measure_memory();
    measure_message_sizes();
    measure_idle_instances();
    return 0;
}
