#include "platform_fake.h"

#include <doctest/doctest.h>

#include <cmath>
#include <cstdio>
#include <random>

using namespace kingcupcart;
using namespace kingcupcart::scaling;
using namespace std::chrono_literals;

namespace {

/// Orders replicas as a function of the load that waits.
struct demand_policy {
    static constexpr const char* name = "demand";
    void report(platform_fake& platform, std::int64_t largest, std::int64_t /*running*/,
                std::int64_t waiting) {
        platform.load = model_load{model_name("m"), slot_count(largest), slot_count(waiting), {}};
    }
};

struct no_orders_policy {
    static constexpr const char* name = "none";
    void report(platform_fake& /*platform*/, std::int64_t /*largest*/, std::int64_t /*running*/,
                std::int64_t /*waiting*/) {}
};

/// Orders so many replicas that a part of their slots is occupied in the mean of 5 seconds. Uses
/// the scaler to send the orders, as a demand of so many slots.
struct utilisation_policy {
    static constexpr const char* name = "utilisation";
    void report(platform_fake& platform, std::int64_t /*largest*/, std::int64_t running,
                std::int64_t /*waiting*/) {
        constexpr double target = 0.7;
        constexpr double weight = 0.02; // of a sample each 100 ms
        this->mean += weight * (static_cast<double>(running) - this->mean);
        platform.load =
            model_load{model_name("m"), {}, slot_count(std::llround(this->mean / target)), {}};
    }
    double mean = 0;
};

struct figures {
    double started_at_once = 0;
    double replica_seconds = 0;
};

/// Ten minutes of steps of 504 items every 4 seconds, as the four trainers of deployment H submit
/// them together, on 12 replicas at first. Items take 0.4 s to 7 s. One domain is lost after 300 s.
template <typename Policy>
figures play() {
    platform_fake platform(30, {0.8, 0.9, 1.0, 1.0, 1.1, 1.25});
    for (const char* domain : {"d0", "d1", "d2", "d3", "d4", "d5"}) {
        platform.start(domain, 2);
    }
    platform.send(authority_changed{true});
    Policy policy;
    std::mt19937 random(1);
    std::lognormal_distribution<double> seconds(std::log(0.8), 0.6);
    std::vector<time_point> running;
    std::int64_t waiting = 0;
    std::int64_t submitted = 0;
    std::int64_t at_once = 0;
    for (int tick = 0; tick < 6000; ++tick) {
        const time_point now = platform.now;
        std::erase_if(running, [&](time_point end) { return end <= now; });
        const bool is_step = tick % 40 == 0;
        if (is_step) {
            waiting += 504;
            submitted += 504;
        }
        std::int64_t slots = platform.total() * 8;
        for (const char* domain : {"d0", "d1", "d2", "d3", "d4", "d5"}) {
            slots += platform.count(domain, replica_kind::spot) * 8;
        }
        const std::int64_t queued_before = is_step ? waiting - 504 : waiting;
        std::int64_t started = 0;
        while (waiting > 0 && static_cast<std::int64_t>(running.size()) < slots) {
            const double time = std::clamp(seconds(random), 0.4, 7.0);
            running.push_back(now + std::chrono::milliseconds(std::llround(time * 1000)));
            --waiting;
            ++started;
        }
        if (is_step) {
            at_once += std::max<std::int64_t>(0, started - queued_before);
        }
        if (tick == 3000) {
            platform.lose("d1", static_cast<int>(platform.count("d1")));
        }
        policy.report(platform, 504, static_cast<std::int64_t>(running.size()), waiting);
        platform.run(100ms);
    }
    const figures result{static_cast<double>(at_once) / static_cast<double>(submitted),
                         platform.replica_seconds};
    std::printf("scaling by %-11s items started at once %.3f, replica seconds %.0f\n", Policy::name,
                result.started_at_once, result.replica_seconds);
    return result;
}

} // namespace

// Guards against orders by utilisation: items of a step come all at once, so that the mean number
// of occupied slots says little about the slots that a step needs.
SCENARIO("ordering by the slots of a step is compared with utilisation and with no orders") {
    const figures demand = play<demand_policy>();
    const figures utilisation = play<utilisation_policy>();
    const figures none = play<no_orders_policy>();
    THEN("nearly all items start when they are submitted") {
        CHECK(demand.started_at_once > 0.95);
        CHECK(demand.started_at_once > utilisation.started_at_once);
        CHECK(utilisation.started_at_once > none.started_at_once);
    }
}
