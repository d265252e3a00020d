#pragma once

#include "base/location.h"
#include "model/engine.h"
#include "model/event_queue.h"
#include "model/measurements.h"
#include "model/request_policy.h"
#include "model/scenario.h"
#include "requests/actions.h"
#include "requests/messages.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace kingcupcart::model {

/// Discrete-event simulation of a deployment under load: entry instances with one policy each,
/// engines, callers and network delays.
template <request_policy Policy>
class request_simulation {
public:
    explicit request_simulation(scenario arguments)
        : plan(std::move(arguments)), random(this->plan.seed), backend("model") {
        this->add_engines();
        this->add_instances();
    }

    /// Runs the whole scenario; call it once only, since it moves the results out.
    measurements run() {
        this->schedule_arrivals(this->plan.short_work, false);
        this->schedule_arrivals(this->plan.long_work, true);
        this->schedule_load_reports();
        this->schedule_slowdowns();
        this->events.run_until(time_point(this->plan.run_time));
        for (const auto& each : this->engines) {
            this->result.tokens_produced += each->tokens_produced();
        }
        return std::move(this->result);
    }

private:
    struct instance {
        location place;
        std::unique_ptr<Policy> policy;
        /// Time of the next scheduled `timer_expired`; an event with another time is ignored.
        std::optional<time_point> wakeup;
    };
    struct open_request {
        time_point arrival_time;
        bool is_long = false;
        /// Length of the complete response.
        std::int64_t tokens = 0;
    };

    static location location_of_region(int region) {
        const std::string name = std::to_string(region);
        return {failure_domain_id("domain-" + name), region_id("region-" + name)};
    }

    void add_engines() {
        const int count = this->plan.regions * this->plan.engines_per_region;
        for (int i = 0; i < count; ++i) {
            this->engines.push_back(std::make_unique<engine>(this->events, this->plan.speed));
            this->engine_locations.push_back(location_of_region(i / this->plan.engines_per_region));
        }
    }

    void add_instances() {
        const int count = this->plan.regions * this->plan.instances_per_region;
        for (int i = 0; i < count; ++i) {
            instance created;
            created.place = location_of_region(i / this->plan.instances_per_region);
            created.policy = std::make_unique<Policy>(
                created.place, this->plan.seed * 1000 + static_cast<std::uint64_t>(i));
            created.policy->set_classes(
                {{work_class_name("short"), urgency::short_work, std::chrono::seconds(60), 100000},
                 {work_class_name("long"), urgency::long_work, std::chrono::hours(1), 100000}});
            created.policy->set_instances(this->plan.instances_per_region);
            this->instances.push_back(std::move(created));
            for (std::size_t target = 0; target < this->engines.size(); ++target) {
                membership::directory_change change;
                change.event = membership::directory_event::added;
                change.record.id = target_id(std::to_string(target));
                change.record.backend = this->backend;
                change.record.place = this->engine_locations[target];
                change.record.slots = this->plan.speed.max_batch_size;
                static_cast<void>(
                    this->instances.back().policy->update_target(change, this->events.now()));
            }
        }
    }

    void schedule_arrivals(const workload& arrivals, bool is_long) {
        if (arrivals.requests_per_second <= 0) {
            return;
        }
        std::exponential_distribution<double> interval(arrivals.requests_per_second /
                                                       arrivals.burst_size);
        const std::chrono::duration<double> wait(interval(this->random));
        this->events.schedule_after(std::chrono::duration_cast<duration>(wait),
                                    [this, arrivals, is_long] {
                                        this->start_burst(arrivals, is_long);
                                        this->schedule_arrivals(arrivals, is_long);
                                    });
    }

    void start_burst(const workload& arrivals, bool is_long) {
        for (int i = 0; i < arrivals.burst_size; ++i) {
            this->start_request(arrivals, is_long);
        }
    }

    void start_request(const workload& arrivals, bool is_long) {
        std::uniform_int_distribution<std::int64_t> token_count(arrivals.min_tokens,
                                                                arrivals.max_tokens);
        const std::size_t instance_index = this->random() % this->instances.size();
        requests::request_profile profile;
        profile.id = request_id(++this->last_request);
        profile.caller = caller_id(is_long ? "trainer" : "counter");
        profile.backend = this->backend;
        profile.work_class = work_class_name(is_long ? "long" : "short");
        profile.repeatable = true;
        profile.resumable = true;
        const open_request new_request{this->events.now(), is_long, token_count(this->random)};
        this->open_requests.emplace(profile.id, new_request);
        ++this->result.requests;
        this->result.tokens_requested += new_request.tokens;
        this->dispatch(instance_index, requests::request_arrived{profile});
    }

    /// Passes the message to the instance's policy and executes the resulting actions.
    void dispatch(std::size_t instance_index, const requests::message& incoming) {
        instance& receiver = this->instances[instance_index];
        const auto actions = receiver.policy->handle(incoming, this->events.now());
        for (const requests::action& each : actions) {
            std::visit([&](const auto& action) { this->execute(instance_index, action); }, each);
        }
        this->schedule_wakeup(instance_index);
    }

    void schedule_wakeup(std::size_t instance_index) {
        instance& receiver = this->instances[instance_index];
        const auto next = receiver.policy->next_wakeup();
        if (!next || (receiver.wakeup && *receiver.wakeup <= *next)) {
            return;
        }
        receiver.wakeup = next;
        this->events.schedule_at(*next, [this, instance_index, due_time = *next] {
            instance& due_instance = this->instances[instance_index];
            if (due_instance.wakeup == due_time) {
                due_instance.wakeup.reset();
                this->dispatch(instance_index, requests::timer_expired{});
            }
        });
    }

    [[nodiscard]] duration network_delay(std::size_t instance_index, std::size_t target) const {
        return this->instances[instance_index].place.region == this->engine_locations[target].region
                   ? this->plan.intra_region_delay
                   : this->plan.inter_region_delay;
    }

    void execute(std::size_t instance_index, const requests::send_attempt& attempt_action) {
        ++this->result.attempts;
        const std::size_t target = std::stoul(attempt_action.target.value());
        const attempt_id attempt = attempt_action.attempt;
        const attempt_id engine_attempt(attempt.value() * this->instances.size() + instance_index);
        this->attempt_targets[engine_attempt] = target;
        const std::int64_t tokens = this->open_requests.at(attempt_action.request).tokens -
                                    attempt_action.resume_after.count();
        const duration delay = this->network_delay(instance_index, target);
        this->dispatch(instance_index, requests::attempt_write_started{attempt});
        this->events.schedule_after(delay, [=, this] {
            this->engines[target]->add(
                engine_attempt, tokens,
                {[=, this] {
                     this->events.schedule_after(delay, [=, this] {
                         this->dispatch(instance_index, requests::attempt_progressed{
                                                            attempt, kingcupcart::tokens(1)});
                     });
                 },
                 [=, this] {
                     this->events.schedule_after(delay, [=, this] {
                         this->dispatch(instance_index, requests::attempt_completed{attempt});
                     });
                 }});
        });
    }

    // The simulated network has no cuts, and the policies do not track paths.

    void execute(std::size_t /*instance_index*/, const requests::relay_attempt& /*relayed*/) {}

    void execute(std::size_t /*instance_index*/, const requests::probe_path& /*probe*/) {}

    void execute(std::size_t /*instance_index*/, const requests::paths_changed& /*changed*/) {}

    void execute(std::size_t /*instance_index*/, const requests::select_attempt& /*selected*/) {}

    void execute(std::size_t /*instance_index*/, const requests::bind_stream& /*bound*/) {}

    void execute(std::size_t instance_index, const requests::cancel_attempt& cancelled) {
        const attempt_id engine_attempt(cancelled.attempt.value() * this->instances.size() +
                                        instance_index);
        const std::size_t target = this->attempt_targets.at(engine_attempt);
        this->events.schedule_after(this->network_delay(instance_index, target),
                                    [=, this] { this->engines[target]->cancel(engine_attempt); });
    }

    void execute(std::size_t /*instance_index*/, const requests::complete_request& completed) {
        const auto entry = this->open_requests.find(completed.request);
        if (entry->second.arrival_time >= time_point(this->plan.warm_up)) {
            auto& latencies =
                entry->second.is_long ? this->result.long_latencies : this->result.short_latencies;
            latencies.push_back(this->events.now() - entry->second.arrival_time);
        }
        this->open_requests.erase(entry);
    }

    void execute(std::size_t /*instance_index*/, const requests::refuse_request& refused) {
        ++this->result.refused;
        this->open_requests.erase(refused.request);
    }

    void schedule_load_reports() {
        for (std::size_t target = 0; target < this->engines.size(); ++target) {
            const membership::target_load load{target_id(std::to_string(target)),
                                               this->engines[target]->running(),
                                               this->engines[target]->waiting()};
            this->events.schedule_after(this->plan.report_delay, [=, this] {
                for (instance& receiver : this->instances) {
                    if (receiver.place == this->engine_locations[target]) {
                        receiver.policy->record_load(load);
                    }
                }
            });
        }
        this->events.schedule_after(this->plan.report_interval,
                                    [this] { this->schedule_load_reports(); });
    }

    /// Slows a random fraction of the engines, and draws again after each period.
    void schedule_slowdowns() {
        const auto slowed_count = static_cast<std::size_t>(
            this->plan.slowed_fraction * static_cast<double>(this->engines.size()) + 0.5);
        if (slowed_count == 0) {
            return;
        }
        std::vector<std::size_t> shuffled(this->engines.size());
        for (std::size_t i = 0; i < shuffled.size(); ++i) {
            shuffled[i] = i;
        }
        std::shuffle(shuffled.begin(), shuffled.end(), this->random);
        for (std::size_t i = 0; i < shuffled.size(); ++i) {
            this->engines[shuffled[i]]->set_slowdown_factor(
                i < slowed_count ? this->plan.slowdown_factor : 1);
        }
        this->events.schedule_after(this->plan.slowdown_period,
                                    [this] { this->schedule_slowdowns(); });
    }

    scenario plan;
    std::mt19937_64 random;
    backend_name backend;
    event_queue events;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<location> engine_locations;
    std::vector<instance> instances;
    std::map<request_id, open_request> open_requests;
    /// Engine of each attempt, by the attempt's identifier at the engine.
    std::unordered_map<attempt_id, std::size_t> attempt_targets;
    std::uint64_t last_request = 0;
    measurements result;
};

} // namespace kingcupcart::model
