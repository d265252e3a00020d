#include "soak/fault_plan.h"

#include <algorithm>
#include <random>

namespace kingcupcart::soak {

namespace {

using kind = fault::kind;

/// Faults of one sort, one after the other.
struct lane {
    std::vector<kind> kinds;
    duration shortest;
    duration longest;
    /// Between the end of one and the next: a lost disk has to be filled again, say.
    duration rest;
};

const std::vector<lane>& lanes() {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    static const std::vector<lane> all{
        {{kind::kill_gateway, kind::stop_gateway, kind::pause_gateway},
         milliseconds(300),
         seconds(2),
         milliseconds(700)},
        {{kind::kill_store, kind::empty_store, kind::stop_store, kind::pause_store},
         milliseconds(300),
         seconds(3),
         seconds(5)},
        {{kind::kill_keeper, kind::empty_keeper, kind::stop_keeper, kind::pause_keeper},
         milliseconds(300),
         seconds(3),
         seconds(5)},
        {{kind::delay_replica, kind::deafen_replica, kind::mute_replica, kind::reset_replica},
         milliseconds(200),
         seconds(3),
         milliseconds(500)}};
    return all;
}

const char* name_of(kind what) {
    switch (what) {
    case kind::kill_gateway:
        return "kill gateway";
    case kind::stop_gateway:
        return "stop gateway";
    case kind::pause_gateway:
        return "pause gateway";
    case kind::kill_store:
        return "kill store";
    case kind::empty_store:
        return "empty store";
    case kind::stop_store:
        return "stop store";
    case kind::pause_store:
        return "pause store";
    case kind::kill_keeper:
        return "kill keeper";
    case kind::empty_keeper:
        return "empty keeper";
    case kind::stop_keeper:
        return "stop keeper";
    case kind::pause_keeper:
        return "pause keeper";
    case kind::kill_all:
        return "kill all keepers and stores";
    case kind::delay_replica:
        return "delay replica";
    case kind::deafen_replica:
        return "deafen replica";
    case kind::mute_replica:
        return "mute replica";
    case kind::reset_replica:
        return "reset replica";
    }
    return "?";
}

} // namespace

std::vector<fault> plan_faults(std::uint64_t seed, duration length) {
    std::mt19937_64 random(seed);
    const auto between = [&](duration least, duration most) {
        std::uniform_int_distribution<duration::rep> draw(least.count(), most.count());
        return duration(draw(random));
    };
    std::vector<fault> plan;
    for (const lane& one : lanes()) {
        duration at = between(std::chrono::milliseconds(200), std::chrono::seconds(3));
        while (at < length) {
            fault made;
            made.what = one.kinds.at(random() % one.kinds.size());
            made.number = random();
            made.at = at;
            made.lasts = between(one.shortest, one.longest);
            plan.push_back(made);
            at += made.lasts + one.rest + between(duration::zero(), one.rest);
        }
    }
    if (random() % 2 == 0) {
        // After the last disk that was lost has been filled again.
        plan.push_back({kind::kill_all, 0, length + std::chrono::seconds(8),
                        between(std::chrono::milliseconds(100), std::chrono::seconds(1))});
    }
    std::sort(plan.begin(), plan.end(), [](const fault& a, const fault& b) { return a.at < b.at; });
    return plan;
}

std::string describe(const fault& one) {
    const auto milliseconds = [](duration time) {
        return std::to_string(time / std::chrono::milliseconds(1));
    };
    return std::string(name_of(one.what)) + " number=" + std::to_string(one.number % 12) +
           " at_ms=" + milliseconds(one.at) + " lasts_ms=" + milliseconds(one.lasts);
}

} // namespace kingcupcart::soak
