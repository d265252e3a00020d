#include "soak/fault_plan.h"

#include <algorithm>
#include <optional>
#include <random>

namespace kingcupcart::soak {

namespace {

using kind = fault::kind;

/// Faults of one role that never overlap.
struct fault_sequence {
    std::vector<kind> kinds;
    duration min_length;
    duration max_length;
    /// Shortest pause between the end of one fault and the start of the next, so that a replica of
    /// a lost disk can be rebuilt, for example.
    duration min_gap;
    /// The kind that is added where writes are to be refused.
    std::optional<kind> refused_writes = std::nullopt;
};

const std::vector<fault_sequence>& fault_sequences() {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    static const std::vector<fault_sequence> sequences{
        {{kind::kill_gateway, kind::stop_gateway, kind::pause_gateway},
         milliseconds(300),
         seconds(2),
         milliseconds(700)},
        {{kind::kill_store, kind::empty_store, kind::stop_store, kind::pause_store},
         milliseconds(300),
         seconds(3),
         seconds(5),
         kind::refuse_store_writes},
        {{kind::kill_keeper, kind::empty_keeper, kind::stop_keeper, kind::pause_keeper},
         milliseconds(300),
         seconds(3),
         seconds(5),
         kind::refuse_keeper_writes},
        {{kind::delay_replica, kind::stall_requests, kind::stall_responses, kind::reset_replica},
         milliseconds(200),
         seconds(3),
         milliseconds(500)}};
    return sequences;
}

std::vector<fault_sequence> sequences_of(const fault_options& options) {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    std::vector<fault_sequence> sequences = fault_sequences();
    if (options.has_named_limits) {
        // Longer than instances have to take notice of a limit.
        sequences.back() = {{kind::name_limit}, seconds(6), seconds(9), seconds(1)};
    }
    if (options.has_cut_gateways) {
        // Two sequences, so that cuts overlap.
        const fault_sequence cuts{
            {kind::cut_gateways}, milliseconds(100), seconds(4), milliseconds(300)};
        sequences.insert(sequences.end(), 2, cuts);
    }
    return sequences;
}

const char* name_of(kind fault_kind) {
    switch (fault_kind) {
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
    case kind::refuse_store_writes:
        return "refuse writes of store";
    case kind::kill_keeper:
        return "kill keeper";
    case kind::empty_keeper:
        return "empty keeper";
    case kind::stop_keeper:
        return "stop keeper";
    case kind::pause_keeper:
        return "pause keeper";
    case kind::refuse_keeper_writes:
        return "refuse writes of keeper";
    case kind::kill_all:
        return "kill all keepers and stores";
    case kind::delay_replica:
        return "delay replica";
    case kind::stall_requests:
        return "stall requests to replica";
    case kind::stall_responses:
        return "stall responses of replica";
    case kind::reset_replica:
        return "reset replica";
    case kind::name_limit:
        return "replica names limit";
    case kind::cut_gateways:
        return "cut gateways off";
    }
    return "?";
}

/// Adds the fault; every third cut of gateways comes and goes.
void add_fault(std::vector<fault>& plan, const fault& planned) {
    // The lower digits choose the gateways and the way in which their connections fail.
    constexpr std::size_t digits_of_cut = 1000;
    constexpr duration flap_time = std::chrono::milliseconds(150);
    if (planned.fault_kind != kind::cut_gateways || planned.index / digits_of_cut % 3 != 0) {
        plan.push_back(planned);
        return;
    }
    fault flap = planned;
    flap.active_time = flap_time;
    for (; flap.at < planned.at + planned.active_time; flap.at += 2 * flap_time) {
        plan.push_back(flap);
    }
}

} // namespace

std::vector<fault> plan_faults(std::uint64_t seed, duration length, const fault_options& options) {
    std::mt19937_64 random(seed);
    const auto random_duration = [&](duration min, duration max) {
        std::uniform_int_distribution<duration::rep> distribution(min.count(), max.count());
        return duration(distribution(random));
    };
    std::vector<fault> plan;
    for (const fault_sequence& sequence : sequences_of(options)) {
        std::vector<kind> kinds = sequence.kinds;
        if (options.has_refused_writes && sequence.refused_writes) {
            kinds.push_back(*sequence.refused_writes);
        }
        duration at = random_duration(std::chrono::milliseconds(200), std::chrono::seconds(3));
        while (at < length) {
            fault planned;
            planned.fault_kind = kinds.at(random() % kinds.size());
            planned.index = random();
            planned.at = at;
            planned.active_time = random_duration(sequence.min_length, sequence.max_length);
            add_fault(plan, planned);
            at += planned.active_time + sequence.min_gap +
                  random_duration(duration::zero(), sequence.min_gap);
        }
    }
    if (random() % 2 == 0) {
        // Late enough that the replica of the last lost disk has been rebuilt.
        plan.push_back({kind::kill_all, 0, length + std::chrono::seconds(8),
                        random_duration(std::chrono::milliseconds(100), std::chrono::seconds(1))});
    }
    std::sort(plan.begin(), plan.end(), [](const fault& a, const fault& b) { return a.at < b.at; });
    return plan;
}

std::string describe(const fault& planned) {
    const auto milliseconds = [](duration time) {
        return std::to_string(time / std::chrono::milliseconds(1));
    };
    return std::string(name_of(planned.fault_kind)) +
           " number=" + std::to_string(planned.index % 12) + " at_ms=" + milliseconds(planned.at) +
           " lasts_ms=" + milliseconds(planned.active_time);
}

} // namespace kingcupcart::soak
