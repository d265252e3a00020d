#include "requests/dispatcher.h"

#include <doctest/doctest.h>

#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::requests;
using namespace std::chrono_literals;

namespace {

const location local_location{failure_domain_id("a1"), region_id("a")};
const backend_name model("m");
constexpr std::int64_t response_tokens = 8;
constexpr duration short_deadline = 5s;
constexpr duration long_deadline = 20s;
constexpr int max_relays = 2;
const std::vector<software_version> versions{software_version("1"), software_version("2")};

/// Simulates targets that refuse, break, stall, respond late, complete twice and start again as
/// another software version, connected to one dispatcher. Checks each action of the dispatcher
/// against the history of its request. With cuts, the instance also loses its paths to some or all
/// targets now and then, and has other instances that answer, decline or break relay its requests.
class failure_simulation {
public:
    failure_simulation(std::uint64_t seed, bool has_cuts)
        : random(seed), subject(local_location, make_limits(has_cuts), seed), has_cuts(has_cuts) {
        this->subject.set_kept_connections(
            [this](const target_id& /*target*/) { return this->chance(0.3); });
        this->subject.set_classes(
            {{work_class_name("short"), urgency::short_work, short_deadline, 20},
             {work_class_name("long"), urgency::long_work, long_deadline, 20}});
        for (int i = 0; i < 4; ++i) {
            this->targets.push_back({versions[static_cast<std::size_t>(i) % 2], 1});
            this->announce(i, membership::directory_event::added, false);
        }
    }

    void run() {
        for (int step = 0; step < 400; ++step) {
            if (this->chance(0.5)) {
                this->arrive();
            }
            if (this->chance(0.02)) {
                this->toggle_leaving(static_cast<int>(this->random() % 4));
            }
            if (this->has_cuts && this->chance(0.02)) {
                this->toggle_cut();
            }
            if (this->chance(0.01)) {
                this->restart(static_cast<int>(this->random() % 4));
            }
            if (this->chance(0.02) && this->last_request > 0) {
                this->disconnect(request_id(this->random() % this->last_request + 1));
            }
            this->advance(20ms);
        }
        this->unreachable.clear();
        this->advance(300s);
        CHECK(this->subject.open_requests() == 0);
        for (const auto& [id, history] : this->histories) {
            CAPTURE(id.value());
            CHECK((history.is_finished || history.is_disconnected));
        }
    }

private:
    struct request_history {
        bool repeatable = false;
        bool is_relayed = false;
        time_point due;
        int relays = 0;
        int transmissions = 0;
        int completions = 0;
        bool is_finished = false;
        bool is_disconnected = false;
        std::int64_t delivered_tokens = 0;
        std::optional<attempt_id> selected;
        /// The version of the events that were delivered, or of the stream that is taken up.
        std::optional<software_version> software;
        bool is_bound = false;
    };
    struct target {
        software_version software;
        std::uint64_t incarnation = 1;
    };
    struct attempt {
        request_id request;
        std::int64_t position = 0;
        bool is_cancelled = false;
        std::size_t target_index = 0;
        /// The target as it was when the request was sent.
        target sent_to;
        bool is_relayed = false;
        bool is_written = false;
    };
    struct event {
        time_point due;
        std::uint64_t number = 0;
        message incoming;

        friend bool operator>(const event& a, const event& b) {
            return std::tie(a.due, a.number) > std::tie(b.due, b.number);
        }
    };

    static dispatcher_limits make_limits(bool has_cuts) {
        dispatcher_limits limits;
        limits.tracks_paths = has_cuts;
        return limits;
    }
    bool chance(double probability) {
        return std::bernoulli_distribution(probability)(this->random);
    }
    duration random_duration(duration max_duration) {
        return duration(static_cast<duration::rep>(
            this->random() % static_cast<std::uint64_t>(max_duration.count())));
    }

    void announce(int target, membership::directory_event kind, bool leaving) {
        membership::directory_change change;
        change.event = kind;
        change.record.id = target_id(std::to_string(target));
        change.record.backend = model;
        change.record.place = local_location;
        change.record.slots = 4;
        change.record.leaving = leaving;
        change.record.software = this->targets[static_cast<std::size_t>(target)].software;
        change.record.incarnation =
            incarnation_id(this->targets[static_cast<std::size_t>(target)].incarnation);
        this->check(this->subject.update_target(change, this->now));
    }

    void toggle_leaving(int target) {
        const target_id id(std::to_string(target));
        const bool is_leaving = !this->leaving.contains(id);
        if (is_leaving) {
            this->leaving.insert(id);
        } else {
            this->leaving.erase(id);
        }
        this->announce(target, membership::directory_event::changed, is_leaving);
    }

    /// Events of the attempts that run there still arrive, and may be those of either process.
    void restart(int target) {
        auto& restarted = this->targets[static_cast<std::size_t>(target)];
        restarted.software = versions[this->random() % versions.size()];
        ++restarted.incarnation;
        this->leaving.erase(target_id(std::to_string(target)));
        this->announce(target, membership::directory_event::restarted, false);
    }

    void toggle_cut() {
        const bool was_cut = !this->unreachable.empty();
        this->unreachable.clear();
        const bool takes_all = this->chance(0.7);
        for (std::size_t i = 0; i < this->targets.size() && !was_cut; ++i) {
            if (takes_all || this->chance(0.5)) {
                this->unreachable.insert(target_id(std::to_string(i)));
            }
        }
        this->refuses = this->chance(0.5);
    }

    void arrive() {
        request_profile profile;
        profile.id = request_id(++this->last_request);
        profile.caller = caller_id(std::to_string(this->random() % 3));
        profile.backend = model;
        profile.work_class = work_class_name(this->chance(0.3) ? "long" : "short");
        profile.repeatable = this->chance(0.6);
        profile.resumable = profile.repeatable;
        profile.continues_after_disconnect = !profile.repeatable;
        if (profile.resumable && this->chance(0.1)) {
            profile.software = versions[this->random() % versions.size()];
        }
        profile.is_relayed = this->has_cuts && this->chance(0.2);
        profile.may_relay = !profile.is_relayed && this->chance(0.9);
        const bool is_long = profile.work_class == work_class_name("long");
        this->histories[profile.id].due = this->now + (is_long ? long_deadline : short_deadline);
        this->histories[profile.id].is_relayed = profile.is_relayed;
        this->histories[profile.id].repeatable = profile.repeatable;
        this->histories[profile.id].software = profile.software;
        this->dispatch(request_arrived{profile});
    }

    void disconnect(request_id request) {
        if (!this->histories[request].is_finished) {
            this->histories[request].is_disconnected = true;
            this->dispatch(caller_disconnected{request});
        }
    }

    void dispatch(const message& incoming) {
        this->check(this->subject.handle(incoming, this->now));
    }

    void advance(duration time) {
        const time_point end = this->now + time;
        while (true) {
            const auto wakeup = this->subject.next_wakeup();
            const bool has_event = !this->events.empty() && this->events.top().due <= end;
            if (wakeup && *wakeup <= end && (!has_event || *wakeup <= this->events.top().due)) {
                this->now = std::max(this->now, *wakeup);
                this->dispatch(timer_expired{});
            } else if (has_event) {
                const event next = this->events.top();
                this->events.pop();
                this->now = next.due;
                this->deliver(next.incoming);
            } else {
                break;
            }
        }
        this->now = end;
    }

    /// Delivers an event of a target. Tokens of a cancelled attempt may still arrive.
    void deliver(const message& incoming) {
        if (const auto* progress = std::get_if<attempt_progressed>(&incoming)) {
            attempt& simulated = this->attempts.at(progress->attempt);
            const std::int64_t position = simulated.position++;
            this->dispatch(incoming);
            request_history& history = this->histories.at(simulated.request);
            if (history.selected == progress->attempt && !simulated.is_cancelled &&
                !history.is_finished) {
                CHECK(position == history.delivered_tokens);
                ++history.delivered_tokens;
                this->check_version(simulated);
            }
            return;
        }
        if (const auto* started = std::get_if<attempt_write_started>(&incoming)) {
            attempt& simulated = this->attempts.at(started->attempt);
            if (simulated.is_cancelled) {
                return; // a cancelled attempt is never written to a socket
            }
            simulated.is_written = true;
            request_history& history = this->histories.at(simulated.request);
            ++history.transmissions;
            CHECK((history.repeatable || history.transmissions == 1));
        }
        if (const auto* failed = std::get_if<attempt_failed>(&incoming)) {
            const attempt& simulated = this->attempts.at(failed->attempt);
            if (failed->failure == attempt_failure::declined && simulated.is_written &&
                !simulated.is_cancelled) {
                --this->histories.at(simulated.request).transmissions;
            }
        }
        this->dispatch(incoming);
    }

    /// Checks an event that was passed on: its version is known, and that of the whole stream.
    void check_version(const attempt& sender) {
        request_history& history = this->histories.at(sender.request);
        if (sender.is_relayed) {
            // The other instance records the stream.
            CHECK((!history.software || history.software == sender.sent_to.software));
            return;
        }
        CHECK(this->targets[sender.target_index].incarnation == sender.sent_to.incarnation);
        CHECK(history.is_bound);
        CHECK(history.software == sender.sent_to.software);
    }

    void schedule(duration delay, const message& incoming) {
        this->events.push({this->now + delay, ++this->last_event, incoming});
    }

    void check(const actions& output) {
        for (const action& returned : output) {
            std::visit([this](const auto& alternative) { this->check_action(alternative); },
                       returned);
        }
    }

    void check_action(const send_attempt& sent) {
        request_history& history = this->histories.at(sent.request);
        CHECK_FALSE(this->leaving.contains(sent.target));
        CHECK((!history.is_finished || history.is_disconnected));
        CHECK(sent.resume_after.count() == history.delivered_tokens);
        CHECK((history.repeatable || history.transmissions == 0));
        const auto index = static_cast<std::size_t>(std::stoi(sent.target.value()));
        this->attempts[sent.attempt] = {sent.request, sent.resume_after.count(), false,
                                        index,        this->targets[index],      false,
                                        false};
        CHECK((!history.software || history.software == this->targets[index].software));
        this->simulate_attempt(sent);
    }

    /// Schedules the events of an attempt, chosen at random.
    void simulate_attempt(const send_attempt& sent) {
        const bool is_cut = this->unreachable.contains(sent.target);
        if (is_cut && this->chance(0.3)) {
            this->simulate_dead_connection(sent);
            return;
        }
        if (is_cut || this->chance(0.15)) {
            const bool is_refused = !is_cut || this->refuses;
            this->schedule(is_refused ? this->random_duration(5ms) : sent.open_timeout,
                           attempt_failed{sent.attempt, attempt_failure::unreachable});
            return;
        }
        this->schedule(0ms, attempt_opened{sent.attempt, 1ms});
        this->schedule(0ms, attempt_write_started{sent.attempt});
        this->schedule(0ms, attempt_reached{sent.attempt});
        this->simulate_response(sent.attempt, sent.resume_after);
    }

    /// A kept connection, over which nothing arrives any more.
    void simulate_dead_connection(const send_attempt& sent) {
        this->schedule(0ms, attempt_write_started{sent.attempt});
        if (this->refuses) {
            this->schedule(this->random_duration(50ms),
                           attempt_failed{sent.attempt, attempt_failure::disconnected});
            return;
        }
        this->schedule(300ms, attempt_silent{sent.attempt});
        if (this->chance(0.3)) {
            this->schedule(1s, attempt_reached{sent.attempt});
        }
    }

    void simulate_response(attempt_id attempt, tokens resume_after) {
        duration event_delay = this->random_duration(50ms);
        const std::int64_t remaining_tokens = response_tokens - resume_after.count();
        const bool is_slow = this->chance(0.2);
        for (std::int64_t i = 0; i < remaining_tokens; ++i) {
            event_delay += this->random_duration(is_slow ? 900ms : 20ms);
            if (this->chance(0.03)) {
                this->schedule(event_delay, attempt_failed{attempt, attempt_failure::broken});
                return;
            }
            if (this->chance(0.01)) {
                return; // the attempt stalls and never completes
            }
            this->schedule(event_delay, attempt_progressed{attempt, tokens(1)});
        }
        this->schedule(event_delay, attempt_completed{attempt});
        if (this->chance(0.1)) {
            this->schedule(event_delay + 1ms, attempt_completed{attempt});
        }
    }

    void check_action(const relay_attempt& relayed) {
        request_history& history = this->histories.at(relayed.request);
        CHECK(this->has_cuts);
        CHECK_FALSE(history.is_relayed);
        CHECK((!history.is_finished || history.is_disconnected));
        CHECK((history.repeatable || history.transmissions == 0));
        CHECK(relayed.resume_after.count() == history.delivered_tokens);
        CHECK(relayed.software == history.software);
        CHECK(++history.relays <= max_relays);
        target relay;
        relay.software = relayed.software.value_or(versions[this->random() % versions.size()]);
        this->attempts[relayed.attempt] = {
            relayed.request, relayed.resume_after.count(), false, 0, relay, true, false};
        if (this->chance(0.1)) {
            this->schedule(this->random_duration(5ms),
                           attempt_failed{relayed.attempt, attempt_failure::no_relay});
            return;
        }
        this->schedule(0ms, attempt_write_started{relayed.attempt});
        if (this->chance(0.2)) {
            const auto failure =
                this->chance(0.7) ? attempt_failure::declined : attempt_failure::broken;
            this->schedule(this->random_duration(5ms), attempt_failed{relayed.attempt, failure});
            return;
        }
        this->simulate_response(relayed.attempt, relayed.resume_after);
    }

    void check_action(const probe_path& probe) {
        const bool is_open = !this->unreachable.contains(probe.target);
        const duration time = is_open || this->refuses ? 1ms : probe.open_timeout;
        this->schedule(time, probe_ended{probe.target, is_open, time});
    }

    void check_action(const paths_changed& changed) {
        CHECK(this->has_cuts);
        for (const paths::path_change& change : changed.changes) {
            CHECK(change.backend == model);
            CHECK(this->lost.contains(change.target) != change.is_lost);
            if (change.is_lost) {
                this->lost.insert(change.target);
            } else {
                this->lost.erase(change.target);
            }
        }
    }

    void check_action(const select_attempt& selected) {
        request_history& history = this->histories.at(selected.request);
        // A request that is not repeatable may complete after its caller received `unknown`.
        CHECK((!history.is_finished || !history.repeatable));
        history.selected = selected.attempt;
        CHECK(this->attempts.at(selected.attempt).position >= history.delivered_tokens);
    }

    void check_action(const bind_stream& bound) {
        request_history& history = this->histories.at(bound.request);
        CHECK(history.repeatable);
        CHECK(history.is_bound == !bound.software);
        history.is_bound = bound.software.has_value();
        if (bound.software) {
            CHECK(bound.software == this->attempts.at(bound.attempt).sent_to.software);
            CHECK((!history.software || history.software == bound.software));
            history.software = bound.software;
        }
    }

    void check_action(const cancel_attempt& cancelled) {
        this->attempts.at(cancelled.attempt).is_cancelled = true;
    }

    void check_action(const complete_request& completed) {
        request_history& history = this->histories.at(completed.request);
        ++history.completions;
        CHECK(history.completions == 1);
        if (history.repeatable) {
            CHECK_FALSE(history.is_finished);
            CHECK(this->now <= history.due);
            CHECK(history.delivered_tokens == response_tokens);
            this->check_version(this->attempts.at(*history.selected));
        }
        history.is_finished = true;
    }

    void check_action(const refuse_request& refused) {
        request_history& history = this->histories.at(refused.request);
        CHECK(history.completions == 0);
        if (!history.is_finished) {
            CHECK(this->now <= history.due);
        } else {
            // The run went on after its callers got the outcome `unknown`.
            CHECK_FALSE(history.repeatable);
            CHECK(refused.outcome == outcome_kind::unknown);
        }
        if (refused.outcome == outcome_kind::not_run) {
            CHECK(history.transmissions == 0);
        }
        history.is_finished = true;
    }

    std::mt19937_64 random;
    dispatcher subject;
    time_point now{1s};
    std::map<request_id, request_history> histories;
    std::map<attempt_id, attempt> attempts;
    std::vector<target> targets;
    std::set<target_id> leaving;
    bool has_cuts = false;
    /// Targets to which no connection opens, which fails at once or by its timeout.
    std::set<target_id> unreachable;
    bool refuses = false;
    /// Targets whose paths were reported as lost.
    std::set<target_id> lost;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t last_request = 0;
    std::uint64_t last_event = 0;
};

} // namespace

SCENARIO("the guarantees about requests hold under any mixture of failures") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        failure_simulation(seed, false).run();
    }
}

SCENARIO("the guarantees about requests hold while the paths to targets come and go") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        failure_simulation(seed, true).run();
    }
}
