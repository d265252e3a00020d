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
const std::vector<software_version> versions{software_version("1"), software_version("2")};

/// Simulates targets that refuse, break, stall, respond late, complete twice and start again as
/// another software version, connected to one dispatcher. Checks each action of the dispatcher
/// against the history of its request.
class failure_simulation {
public:
    explicit failure_simulation(std::uint64_t seed)
        : random(seed), subject(local_location, {}, seed) {
        this->subject.set_classes({{work_class_name("short"), urgency::short_work, 5s, 20},
                                   {work_class_name("long"), urgency::long_work, 20s, 20}});
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
            if (this->chance(0.01)) {
                this->restart(static_cast<int>(this->random() % 4));
            }
            if (this->chance(0.02) && this->last_request > 0) {
                this->disconnect(request_id(this->random() % this->last_request + 1));
            }
            this->advance(20ms);
        }
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
    };
    struct event {
        time_point due;
        std::uint64_t number = 0;
        message incoming;

        friend bool operator>(const event& a, const event& b) {
            return std::tie(a.due, a.number) > std::tie(b.due, b.number);
        }
    };

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
            const attempt& simulated = this->attempts.at(started->attempt);
            if (simulated.is_cancelled) {
                return; // a cancelled attempt is never written to a socket
            }
            request_history& history = this->histories.at(simulated.request);
            ++history.transmissions;
            CHECK((history.repeatable || history.transmissions == 1));
        }
        this->dispatch(incoming);
    }

    /// Checks an event that was passed on: its version is known, and that of the whole stream.
    void check_version(const attempt& sender) {
        request_history& history = this->histories.at(sender.request);
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
        this->attempts[sent.attempt] = {sent.request, sent.resume_after.count(), false, index,
                                        this->targets[index]};
        CHECK((!history.software || history.software == this->targets[index].software));
        this->simulate_attempt(sent);
    }

    /// Schedules the events of an attempt, chosen at random.
    void simulate_attempt(const send_attempt& sent) {
        if (this->chance(0.15)) {
            this->schedule(this->random_duration(5ms),
                           attempt_failed{sent.attempt, attempt_failure::unreachable});
            return;
        }
        this->schedule(0ms, attempt_write_started{sent.attempt});
        duration event_delay = this->random_duration(50ms);
        const std::int64_t remaining_tokens = response_tokens - sent.resume_after.count();
        const bool is_slow = this->chance(0.2);
        for (std::int64_t i = 0; i < remaining_tokens; ++i) {
            event_delay += this->random_duration(is_slow ? 900ms : 20ms);
            if (this->chance(0.03)) {
                this->schedule(event_delay, attempt_failed{sent.attempt, attempt_failure::broken});
                return;
            }
            if (this->chance(0.01)) {
                return; // the attempt stalls and never completes
            }
            this->schedule(event_delay, attempt_progressed{sent.attempt, tokens(1)});
        }
        this->schedule(event_delay, attempt_completed{sent.attempt});
        if (this->chance(0.1)) {
            this->schedule(event_delay + 1ms, attempt_completed{sent.attempt});
        }
    }

    void check_action(const relay_attempt& /*relayed*/) {}

    void check_action(const probe_path& /*probe*/) {}

    void check_action(const paths_changed& /*changed*/) {}

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
            CHECK(history.delivered_tokens == response_tokens);
            this->check_version(this->attempts.at(*history.selected));
        }
        history.is_finished = true;
    }

    void check_action(const refuse_request& refused) {
        request_history& history = this->histories.at(refused.request);
        CHECK(history.completions == 0);
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
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t last_request = 0;
    std::uint64_t last_event = 0;
};

} // namespace

SCENARIO("the guarantees about requests hold under any mixture of failures") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        failure_simulation(seed).run();
    }
}
