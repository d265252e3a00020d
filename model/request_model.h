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

/// A deployment in virtual time: entry instances with one policy each, engines, callers, delays.
template <request_policy Policy>
class request_model {
public:
    explicit request_model(scenario wanted)
        : plan(std::move(wanted)), random(this->plan.seed), backend("model") {
        this->add_engines();
        this->add_instances();
    }

    measurements run() {
        this->arrive(this->plan.short_work, false);
        this->arrive(this->plan.long_work, true);
        this->report_load();
        this->change_slowness();
        this->events.run_until(time_point(this->plan.length));
        for (const auto& one : this->engines) {
            this->result.tokens_produced += one->tokens_produced();
        }
        return std::move(this->result);
    }

private:
    struct instance {
        location place;
        std::unique_ptr<Policy> policy;
        std::optional<time_point> wakeup;
    };
    struct open_request {
        time_point arrived;
        bool is_long = false;
        std::int64_t tokens = 0;
    };

    static location place_of(int region) {
        const std::string name = std::to_string(region);
        return {failure_domain_id("domain-" + name), region_id("region-" + name)};
    }

    void add_engines() {
        const int count = this->plan.regions * this->plan.engines_per_region;
        for (int i = 0; i < count; ++i) {
            this->engines.push_back(std::make_unique<engine>(this->events, this->plan.speed));
            this->places.push_back(place_of(i / this->plan.engines_per_region));
        }
    }

    void add_instances() {
        const int count = this->plan.regions * this->plan.instances_per_region;
        for (int i = 0; i < count; ++i) {
            instance made;
            made.place = place_of(i / this->plan.instances_per_region);
            made.policy = std::make_unique<Policy>(made.place, this->plan.seed * 1000 +
                                                                   static_cast<std::uint64_t>(i));
            made.policy->set_classes(
                {{work_class_name("short"), urgency::short_work, std::chrono::seconds(60), 100000},
                 {work_class_name("long"), urgency::long_work, std::chrono::hours(1), 100000}});
            made.policy->set_instances(this->plan.instances_per_region);
            this->instances.push_back(std::move(made));
            for (std::size_t target = 0; target < this->engines.size(); ++target) {
                membership::directory_change change;
                change.event = membership::directory_event::added;
                change.record.id = target_id(std::to_string(target));
                change.record.backend = this->backend;
                change.record.place = this->places[target];
                change.record.slots = this->plan.speed.batch_max;
                static_cast<void>(
                    this->instances.back().policy->update_target(change, this->events.now()));
            }
        }
    }

    void arrive(const work_stream& work, bool is_long) {
        if (work.per_second <= 0) {
            return;
        }
        std::exponential_distribution<double> gap(work.per_second / work.burst);
        const std::chrono::duration<double> wait(gap(this->random));
        this->events.after(std::chrono::duration_cast<duration>(wait), [this, work, is_long] {
            this->begin_burst(work, is_long);
            this->arrive(work, is_long);
        });
    }

    void begin_burst(const work_stream& work, bool is_long) {
        for (int i = 0; i < work.burst; ++i) {
            this->begin_request(work, is_long);
        }
    }

    void begin_request(const work_stream& work, bool is_long) {
        std::uniform_int_distribution<std::int64_t> length(work.tokens_least, work.tokens_most);
        const std::size_t chosen = this->random() % this->instances.size();
        requests::request_profile profile;
        profile.id = request_id(++this->last_request);
        profile.caller = caller_id(is_long ? "trainer" : "counter");
        profile.backend = this->backend;
        profile.work_class = work_class_name(is_long ? "long" : "short");
        profile.repeatable = true;
        profile.resumable = true;
        const open_request opened{this->events.now(), is_long, length(this->random)};
        this->open.emplace(profile.id, opened);
        ++this->result.requests;
        this->result.tokens_wanted += opened.tokens;
        this->notify(chosen, requests::request_arrived{profile});
    }

    void notify(std::size_t chosen, const requests::message& told) {
        instance& at = this->instances[chosen];
        const auto actions = at.policy->handle(told, this->events.now());
        for (const requests::action& one : actions) {
            std::visit([&](const auto& wanted) { this->execute(chosen, wanted); }, one);
        }
        this->arm(chosen);
    }

    void arm(std::size_t chosen) {
        instance& at = this->instances[chosen];
        const auto next = at.policy->next_wakeup();
        if (!next || (at.wakeup && *at.wakeup <= *next)) {
            return;
        }
        at.wakeup = next;
        this->events.at(*next, [this, chosen, due = *next] {
            instance& woken = this->instances[chosen];
            if (woken.wakeup == due) {
                woken.wakeup.reset();
                this->notify(chosen, requests::timer_expired{});
            }
        });
    }

    [[nodiscard]] duration delay_between(std::size_t chosen, std::size_t target) const {
        return this->instances[chosen].place.region == this->places[target].region
                   ? this->plan.domain_delay
                   : this->plan.region_delay;
    }

    void execute(std::size_t chosen, const requests::send_attempt& sent) {
        ++this->result.attempts;
        const std::size_t target = std::stoul(sent.target.value());
        const attempt_id attempt = sent.attempt;
        const attempt_id at_engine(attempt.value() * this->instances.size() + chosen);
        this->targets[at_engine] = target;
        const std::int64_t tokens = this->open.at(sent.request).tokens - sent.resume_after.count();
        const duration delay = this->delay_between(chosen, target);
        this->notify(chosen, requests::attempt_handed{attempt});
        this->events.after(delay, [=, this] {
            this->engines[target]->add(
                at_engine, tokens,
                {[=, this] {
                     this->events.after(delay, [=, this] {
                         this->notify(
                             chosen, requests::attempt_progressed{attempt, kingcupcart::tokens(1)});
                     });
                 },
                 [=, this] {
                     this->events.after(delay, [=, this] {
                         this->notify(chosen, requests::attempt_answered{attempt});
                     });
                 }});
        });
    }

    void execute(std::size_t /*chosen*/, const requests::adopt_attempt& /*adopted*/) {}

    void execute(std::size_t chosen, const requests::cancel_attempt& cancelled) {
        const attempt_id at_engine(cancelled.attempt.value() * this->instances.size() + chosen);
        const std::size_t target = this->targets.at(at_engine);
        this->events.after(this->delay_between(chosen, target),
                           [=, this] { this->engines[target]->cancel(at_engine); });
    }

    void execute(std::size_t /*chosen*/, const requests::complete_request& completed) {
        const auto found = this->open.find(completed.request);
        if (found->second.arrived >= time_point(this->plan.warm_up)) {
            auto& times =
                found->second.is_long ? this->result.long_times : this->result.short_times;
            times.push_back(this->events.now() - found->second.arrived);
        }
        this->open.erase(found);
    }

    void execute(std::size_t /*chosen*/, const requests::refuse_request& refused) {
        ++this->result.refused;
        this->open.erase(refused.request);
    }

    void report_load() {
        for (std::size_t target = 0; target < this->engines.size(); ++target) {
            const membership::target_load load{target_id(std::to_string(target)),
                                               this->engines[target]->running(),
                                               this->engines[target]->waiting()};
            this->events.after(this->plan.report_lag, [=, this] {
                for (instance& one : this->instances) {
                    if (one.place == this->places[target]) {
                        one.policy->record_load(load);
                    }
                }
            });
        }
        this->events.after(this->plan.report_interval, [this] { this->report_load(); });
    }

    /// Slows a share of the engines, others at each moment.
    void change_slowness() {
        const auto slowed = static_cast<std::size_t>(
            this->plan.slowed_share * static_cast<double>(this->engines.size()) + 0.5);
        if (slowed == 0) {
            return;
        }
        std::vector<std::size_t> order(this->engines.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            order[i] = i;
        }
        std::shuffle(order.begin(), order.end(), this->random);
        for (std::size_t i = 0; i < order.size(); ++i) {
            this->engines[order[i]]->set_slowness(i < slowed ? this->plan.slowness : 1);
        }
        this->events.after(this->plan.slow_moment, [this] { this->change_slowness(); });
    }

    scenario plan;
    std::mt19937_64 random;
    backend_name backend;
    event_queue events;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<location> places;
    std::vector<instance> instances;
    std::map<request_id, open_request> open;
    std::unordered_map<attempt_id, std::size_t> targets;
    std::uint64_t last_request = 0;
    measurements result;
};

} // namespace kingcupcart::model
