// A randomized soak: real processes on loopback, faults by seed, and the promises of docs/PROOFS.md
// checked from what callers and replicas see. See docs/SOAK.md.
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

/// Between two acts of the clients.
constexpr duration act_interval = std::chrono::milliseconds(25);
constexpr duration formation_limit = std::chrono::seconds(10);

using kind = fault::kind;
using role = soak_fleet::role;

role role_of(kind what) {
    if (what <= kind::pause_gateway) {
        return role::gateway;
    }
    return what <= kind::pause_store ? role::store : role::keeper;
}

void harm_replica(soak_fleet& fleet, const fault& one, bool begins) {
    auto& list = one.number % 3 == 0 ? fleet.services() : fleet.engines();
    loopback_proxy& proxy = *list[one.number / 3 % list.size()].proxy;
    using harm = loopback_proxy::harm;
    if (!begins) {
        proxy.set(harm::none);
    } else if (one.what == kind::delay_replica) {
        proxy.set(harm::delayed);
    } else if (one.what == kind::deafen_replica) {
        proxy.set(harm::deaf);
    } else if (one.what == kind::mute_replica) {
        proxy.set(harm::mute);
    } else {
        proxy.reset();
    }
}

void harm_machine(soak_fleet& fleet, const fault& one, bool begins) {
    soak_fleet::machine& at = fleet.pick(role_of(one.what), one.number);
    switch (one.what) {
    case kind::kill_gateway:
    case kind::kill_store:
    case kind::kill_keeper:
    case kind::empty_store:
    case kind::empty_keeper:
        if (begins) {
            fleet.kill(at, one.what == kind::empty_store || one.what == kind::empty_keeper);
        } else {
            fleet.start(at);
        }
        break;
    case kind::stop_gateway:
    case kind::stop_store:
    case kind::stop_keeper:
        if (begins) {
            fleet.terminate(at);
        }
        break;
    default:
        if (begins) {
            fleet.pause(at);
        } else {
            fleet.go_on(at);
        }
    }
}

void apply(soak_fleet& fleet, const fault& one, bool begins) {
    if (one.what >= kind::delay_replica) {
        harm_replica(fleet, one, begins);
    } else if (one.what != kind::kill_all) {
        harm_machine(fleet, one, begins);
    } else {
        for (const role plays : {role::keeper, role::store}) {
            for (std::size_t i = 0; i < soak_fleet::machines_a_role; ++i) {
                if (begins) {
                    fleet.kill(fleet.pick(plays, i), false);
                } else {
                    fleet.start(fleet.pick(plays, i));
                }
            }
        }
    }
}

/// Moments at which something is done, in order.
struct step {
    duration at{};
    fault what;
    bool begins = true;
};

std::vector<step> steps_of(const std::vector<fault>& plan) {
    std::vector<step> steps;
    for (const fault& one : plan) {
        steps.push_back({one.at, one, true});
        steps.push_back({one.at + one.lasts, one, false});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const step& a, const step& b) { return a.at < b.at; });
    return steps;
}

bool play(std::uint64_t seed, duration length) {
    process_tests::deployment on;
    soak_fleet fleet(on);
    soak_clients clients(on, fleet, seed);
    const auto pass = [&](duration time) {
        const time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            on.wait(act_interval);
            clients.act();
            for (const std::string& finding : fleet.run_maintenance()) {
                clients.report(finding);
            }
        }
    };
    if (!clients.form(formation_limit)) {
        clients.report("the fleet did not form");
    }
    const time_point begun = std::chrono::steady_clock::now();
    for (const step& one : steps_of(plan_faults(seed, length))) {
        pass(begun + one.at - std::chrono::steady_clock::now());
        apply(fleet, one.what, one.begins);
        if (one.begins) {
            std::printf("  %s\n", describe(one.what).c_str());
        }
    }
    pass(std::chrono::seconds(3));
    clients.check_end();
    std::printf("seed=%llu %s findings=%zu\n", static_cast<unsigned long long>(seed),
                clients.summary().c_str(), clients.broken().size());
    for (const std::string& finding : clients.broken()) {
        std::printf("  BROKEN %s\n", finding.c_str());
    }
    if (!clients.broken().empty()) {
        on.keep_folder();
        std::printf("  logs in %s\n", on.path_of("").c_str());
    }
    std::fflush(stdout);
    return clients.broken().empty();
}

} // namespace

int main(int count, char** words) {
    static const std::array<option, 4> known{{{"seed", required_argument, nullptr, 's'},
                                              {"seeds", required_argument, nullptr, 'n'},
                                              {"seconds", required_argument, nullptr, 't'},
                                              {nullptr, 0, nullptr, 0}}};
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    long seconds = 10;
    for (int letter = 0; letter != -1;) {
        letter = getopt_long(count, words, "s:n:t:", known.data(), nullptr);
        switch (letter) {
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
        default:
            std::fputs("usage: soak [--seed FIRST] [--seeds COUNT] [--seconds OF_FAULTS]\n",
                       stderr);
            return 2;
        }
    }
    std::uint64_t failed = 0;
    for (std::uint64_t i = 0; i < seeds; ++i) {
        failed += play(seed + i, std::chrono::seconds(seconds)) ? 0 : 1;
    }
    std::printf("%llu of %llu seeds without a finding\n",
                static_cast<unsigned long long>(seeds - failed),
                static_cast<unsigned long long>(seeds));
    return failed == 0 ? 0 : 1;
}
