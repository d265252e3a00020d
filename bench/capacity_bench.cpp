// Slopes for docs/CAPACITY.md: what a decision, a target, a message and an idle instance cost, each
// at several sizes. Wall-clock figures: printed, not judged.
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

const location here{failure_domain_id("domain-01"), region_id("region-1")};

double seconds_of(const std::function<void()>& work) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

membership::target_record record_of(int number) {
    membership::target_record record;
    record.id = target_id("engine-domain-01-" + std::to_string(number));
    record.backend = backend_name("stylist-lm");
    record.address = endpoint{"10.11.12.13", 8000};
    record.place = here;
    record.slots = 32;
    record.incarnation = incarnation_id(1796369801783267);
    return record;
}

void decisions() {
    std::printf("routing decision\n%8s %12s\n", "targets", "ns");
    for (const int count : {12, 60, 200, 600}) {
        routing::router subject(here, {}, 1);
        for (int i = 0; i < count; ++i) {
            const auto record = record_of(i);
            subject.update_target({record.id, record.backend, record.place, record.slots, false});
        }
        routing::route_query query;
        query.backend = backend_name("stylist-lm");
        constexpr int rounds = 200000;
        time_point now{};
        const double spent = seconds_of([&] {
            for (int i = 0; i < rounds; ++i) {
                now += std::chrono::microseconds(100);
                const auto choice = subject.choose(query, now);
                subject.record_sent(*choice.target, urgency::short_work, now);
                subject.record_finished(*choice.target, urgency::short_work, now, false, now);
            }
        });
        std::printf("%8d %12.0f\n", count, spent / rounds * 1e9);
    }
}

void memory() {
    std::printf("memory of the decision parts\n%8s %12s\n", "targets", "bytes each");
    for (const int count : {60, 200, 600}) {
        const auto before = mallinfo2().uordblks;
        requests::dispatcher subject(here, {}, 1);
        membership::directory known(here);
        for (int i = 0; i < count; ++i) {
            const auto change = known.announce(record_of(i), std::chrono::seconds(6), {});
            static_cast<void>(subject.update_target(change, {}));
        }
        const auto after = mallinfo2().uordblks;
        std::printf("%8d %12zu\n", count, (after - before) / static_cast<std::size_t>(count));
    }
}

void requests_cost() {
    std::printf("dispatcher, one request from arrival to answer, 8 tokens\n%8s %12s\n", "targets",
                "us");
    for (const int count : {12, 60, 600}) {
        requests::dispatcher subject(here, {}, 1);
        subject.set_classes({{work_class_name("query"), urgency::short_work}});
        membership::directory known(here);
        for (int i = 0; i < count; ++i) {
            static_cast<void>(subject.update_target(
                known.announce(record_of(i), std::chrono::seconds(6), {}), {}));
        }
        constexpr int rounds = 20000;
        time_point now{std::chrono::seconds(1)};
        const double spent = seconds_of([&] {
            for (int i = 0; i < rounds; ++i) {
                now += std::chrono::microseconds(500);
                requests::request_profile profile;
                profile.id = request_id(static_cast<std::uint64_t>(i) + 1);
                profile.backend = backend_name("stylist-lm");
                profile.work_class = work_class_name("query");
                profile.repeatable = true;
                profile.resumable = true;
                const auto sent = subject.handle(requests::request_arrived{profile}, now);
                const auto attempt = std::get<requests::send_attempt>(sent.front()).attempt;
                for (int token = 0; token < 8; ++token) {
                    static_cast<void>(
                        subject.handle(requests::attempt_progressed{attempt, tokens(1)}, now));
                }
                static_cast<void>(subject.handle(requests::attempt_answered{attempt}, now));
                static_cast<void>(subject.handle(requests::timer_expired{}, now));
            }
        });
        std::printf("%8d %12.2f\n", count, spent / rounds * 1e6);
    }
}

void messages() {
    std::printf("messages, bytes of CBOR\n");
    std::printf("  target news %zu\n", wire::encode(wire::target_update{record_of(1)}).size());
    for (const int count : {0, 2, 20, 60}) {
        wire::target_heartbeats vouched;
        for (int i = 0; i < count; ++i) {
            vouched.targets.push_back({record_of(i).id, 20, 3});
        }
        std::printf("  vouching for %d targets %zu\n", count, wire::encode(vouched).size());
    }
    std::printf("  heartbeat between keepers %zu\n",
                wire::encode(wire::consensus_message{quorum::append_entries_request{}}).size());
    std::printf("  instance news %zu\n",
                wire::encode(wire::instance_update{{instance_id("domain-01-entry-33"),
                                                    endpoint{"10.11.12.13", 7001}}})
                    .size());
}

double resident_mib(int process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    long all = 0;
    long resident = 0;
    file >> all >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
}

double link_bytes(deployment& bench, child_process& instance) {
    http::request wanted;
    wanted.url = "http://" + instance.value("admin") + "/metrics";
    const std::string text = bench.call(wanted)->body;
    double sum = 0;
    for (const char* name : {"kingcupcart_link_bytes_sent ", "kingcupcart_link_bytes_received "}) {
        const auto at = text.find(name);
        sum += at == std::string::npos ? 0 : std::stod(text.substr(at + std::string(name).size()));
    }
    return sum;
}

void idle_instances() {
    std::printf("idle entry instances of one domain, one target each, lease 1.5 s\n");
    std::printf("%10s %14s %12s %10s\n", "instances", "bytes/s both", "CPU % core", "MiB");
    for (const int count : {2, 4, 8, 16}) {
        deployment bench;
        bench.add_keeper();
        std::vector<child_process*> entries;
        for (int i = 0; i < count; ++i) {
            entries.push_back(&bench.add_entry());
            bench.add_engine("g" + std::to_string(i), *entries.back());
        }
        bench.has_targets(*entries[0], static_cast<std::size_t>(count));
        bench.wait(std::chrono::seconds(2));
        const double bytes = link_bytes(bench, *entries[0]);
        const double cpu = processor_seconds(entries[0]->id());
        constexpr int length = 8;
        bench.wait(std::chrono::seconds(length));
        std::printf("%10d %14.0f %12.2f %10.1f\n", count,
                    (link_bytes(bench, *entries[0]) - bytes) / length,
                    (processor_seconds(entries[0]->id()) - cpu) / length * 100,
                    resident_mib(entries[0]->id()));
        std::fflush(stdout);
    }
}

} // namespace

int main() {
    decisions();
    requests_cost();
    memory();
    messages();
    idle_instances();
    return 0;
}
