// A randomized soak test: runs real processes on loopback, injects faults that a seed determines,
// and checks the guarantees of docs/PROOFS.md by what callers and replicas observe. See
// docs/SOAK.md.
#include "soak/fault_plan.h"
#include "soak/soak_clients.h"
#include "soak/soak_fleet.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::soak;

namespace {

/// Time between two random actions of the clients.
constexpr duration action_interval = std::chrono::milliseconds(25);
constexpr duration formation_timeout = std::chrono::seconds(10);

using kind = fault::kind;
using role = soak_fleet::role;

role role_of(kind fault_kind) {
    if (fault_kind <= kind::pause_gateway) {
        return role::gateway;
    }
    return fault_kind <= kind::refuse_store_writes ? role::store : role::keeper;
}

void apply_replica_fault(soak_fleet& fleet, const fault& planned, bool is_start) {
    auto& replicas = planned.index % 3 == 0 ? fleet.services() : fleet.engines();
    process_tests::loopback_proxy& proxy = *replicas[planned.index / 3 % replicas.size()].proxy;
    using fault_mode = process_tests::loopback_proxy::fault_mode;
    if (!is_start) {
        proxy.set_fault_mode(fault_mode::none);
    } else if (planned.fault_kind == kind::delay_replica) {
        proxy.set_fault_mode(fault_mode::delayed);
    } else if (planned.fault_kind == kind::stall_requests) {
        proxy.set_fault_mode(fault_mode::requests_stalled);
    } else if (planned.fault_kind == kind::stall_responses) {
        proxy.set_fault_mode(fault_mode::responses_stalled);
    } else {
        proxy.reset();
    }
}

void apply_instance_fault(soak_fleet& fleet, const fault& planned, bool is_start) {
    soak_fleet::fleet_instance& instance =
        fleet.instance_at(role_of(planned.fault_kind), planned.index);
    switch (planned.fault_kind) {
    case kind::kill_gateway:
    case kind::kill_store:
    case kind::kill_keeper:
    case kind::empty_store:
    case kind::empty_keeper:
        if (is_start) {
            fleet.kill(instance, planned.fault_kind == kind::empty_store ||
                                     planned.fault_kind == kind::empty_keeper);
        } else {
            fleet.start(instance);
        }
        break;
    case kind::stop_gateway:
    case kind::stop_store:
    case kind::stop_keeper:
        if (is_start) {
            fleet.terminate(instance);
        }
        break;
    case kind::refuse_store_writes:
    case kind::refuse_keeper_writes:
        if (is_start) {
            fleet.refuse_writes(instance);
        } else {
            fleet.accept_writes(instance);
        }
        break;
    default:
        if (is_start) {
            fleet.pause(instance);
        } else {
            fleet.resume(instance);
        }
    }
}

void apply_cut(soak_fleet& fleet, const fault& planned, bool is_start) {
    const auto& path_faults = process_tests::path_faults;
    const std::size_t choice = planned.index / path_faults.size();
    const std::size_t first = choice / soak_fleet::instances_per_role;
    for (std::size_t i = 0; i <= choice % soak_fleet::instances_per_role; ++i) {
        soak_fleet::fleet_instance& gateway = fleet.instance_at(role::gateway, first + i);
        if (is_start) {
            soak_fleet::cut(gateway, path_faults[planned.index % path_faults.size()]);
        } else {
            soak_fleet::heal(gateway);
        }
    }
}

void apply_fault(soak_fleet& fleet, const fault& planned, bool is_start) {
    if (planned.fault_kind == kind::name_limit) {
        constexpr std::size_t max_rate = 5;
        const std::size_t count = planned.index % 2 == 0 ? fleet.services().size() : 1;
        for (std::size_t i = 0; i < count; ++i) {
            if (is_start) {
                fleet.begin_limit(planned.index + i,
                                  static_cast<int>(planned.index % max_rate) + 1);
            } else {
                fleet.end_limit(planned.index + i);
            }
        }
    } else if (planned.fault_kind == kind::cut_gateways) {
        apply_cut(fleet, planned, is_start);
    } else if (planned.fault_kind >= kind::delay_replica) {
        apply_replica_fault(fleet, planned, is_start);
    } else if (planned.fault_kind != kind::kill_all) {
        apply_instance_fault(fleet, planned, is_start);
    } else {
        for (const role instance_role : {role::keeper, role::store}) {
            for (std::size_t i = 0; i < soak_fleet::instances_per_role; ++i) {
                if (is_start) {
                    fleet.kill(fleet.instance_at(instance_role, i), false);
                } else {
                    fleet.start(fleet.instance_at(instance_role, i));
                }
            }
        }
    }
}

/// The start or the end of a fault.
struct schedule_entry {
    duration at{};
    fault planned;
    bool is_start = true;
};

std::vector<schedule_entry> schedule_of(const std::vector<fault>& plan) {
    std::vector<schedule_entry> schedule;
    for (const fault& planned : plan) {
        schedule.push_back({planned.at, planned, true});
        schedule.push_back({planned.at + planned.active_time, planned, false});
    }
    std::stable_sort(schedule.begin(), schedule.end(),
                     [](const schedule_entry& a, const schedule_entry& b) { return a.at < b.at; });
    return schedule;
}

bool run_soak(std::uint64_t seed, duration length, const fault_options& options) {
    process_tests::deployment test_deployment;
    soak_fleet fleet(test_deployment, options.has_cut_gateways);
    soak_clients clients(test_deployment, fleet, seed);
    const auto run_for = [&](duration time) {
        const time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            test_deployment.wait(action_interval);
            clients.run_random_action();
            for (const std::string& finding : fleet.run_maintenance()) {
                clients.report(finding);
            }
        }
    };
    if (!clients.wait_until_serving(formation_timeout)) {
        clients.report("the fleet did not become ready");
    }
    const time_point soak_start = std::chrono::steady_clock::now();
    for (const schedule_entry& entry : schedule_of(plan_faults(seed, length, options))) {
        run_for(soak_start + entry.at - std::chrono::steady_clock::now());
        apply_fault(fleet, entry.planned, entry.is_start);
        if (entry.is_start) {
            std::printf("  %s\n", describe(entry.planned).c_str());
        }
    }
    run_for(std::chrono::seconds(3));
    clients.check_final_state();
    for (const std::string& finding : fleet.check_limits()) {
        clients.report(finding);
    }
    std::printf("seed=%llu %s findings=%zu\n", static_cast<unsigned long long>(seed),
                clients.summary().c_str(), clients.reported_findings().size());
    for (const std::string& finding : clients.reported_findings()) {
        std::printf("  BROKEN %s\n", finding.c_str());
    }
    if (!clients.reported_findings().empty()) {
        test_deployment.keep_folder();
        std::printf("  logs in %s\n", test_deployment.path_of("").c_str());
    }
    std::fflush(stdout);
    return clients.reported_findings().empty();
}

} // namespace

int main(int argc, char** argv) {
    static const std::array<option, 7> long_options{{{"seed", required_argument, nullptr, 's'},
                                                     {"seeds", required_argument, nullptr, 'n'},
                                                     {"seconds", required_argument, nullptr, 't'},
                                                     {"refused-writes", no_argument, nullptr, 'w'},
                                                     {"named-limits", no_argument, nullptr, 'l'},
                                                     {"cut-gateways", no_argument, nullptr, 'c'},
                                                     {nullptr, 0, nullptr, 0}}};
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    long seconds = 10;
    fault_options options;
    for (int option_character = 0; option_character != -1;) {
        option_character = getopt_long(argc, argv, "s:n:t:wlc", long_options.data(), nullptr);
        switch (option_character) {
        case -1:
            break;
        case 's':
            seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            seeds = std::strtoull(optarg, nullptr, 10);
            break;
        case 't':
            seconds = std::strtol(optarg, nullptr, 10);
            break;
        case 'w':
            options.has_refused_writes = true;
            break;
        case 'l':
            options.has_named_limits = true;
            break;
        case 'c':
            options.has_cut_gateways = true;
            break;
        default:
            std::fputs("usage: soak [--seed FIRST] [--seeds COUNT] [--seconds OF_FAULTS] "
                       "[--refused-writes] [--named-limits] [--cut-gateways]\n",
                       stderr);
            return 2;
        }
    }
    std::uint64_t failed = 0;
    for (std::uint64_t i = 0; i < seeds; ++i) {
        failed += run_soak(seed + i, std::chrono::seconds(seconds), options) ? 0 : 1;
    }
    std::printf("%llu of %llu seeds without a finding\n",
                static_cast<unsigned long long>(seeds - failed),
                static_cast<unsigned long long>(seeds));
    return failed == 0 ? 0 : 1;
}
