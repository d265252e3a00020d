#include "requests/dispatcher.h"

#include <doctest/doctest.h>

#include <map>
#include <queue>
#include <random>
#include <set>

using namespace kingcupcart;
using namespace kingcupcart::requests;
using namespace std::chrono_literals;

namespace {

const location local_location{failure_domain_id("a1"), region_id("a")};
const backend_name model("m");
constexpr std::int64_t answer_tokens = 8;

/// Targets that refuse, break, freeze, answer late and repeat themselves, before one dispatcher; it
/// checks each action against what has happened.
class chaos {
public:
    explicit chaos(std::uint64_t seed) : random(seed), subject(local_location, {}, seed) {
        this->subject.set_classes({{work_class_name("short"), urgency::short_work, 5s, 20},
                                   {work_class_name("long"), urgency::long_work, 20s, 20}});
        for (int i = 0; i < 4; ++i) {
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
            if (this->chance(0.02) && this->last_request > 0) {
                this->leave(request_id(this->random() % this->last_request + 1));
            }
            this->pass(20ms);
        }
        this->pass(300s);
        CHECK(this->subject.open_requests() == 0);
        for (const auto& [id, fate] : this->fates) {
            CAPTURE(id.value());
            CHECK((fate.ended || fate.left));
        }
    }

private:
    struct fate {
        bool repeatable = false;
        int handed = 0;
        int completions = 0;
        bool ended = false;
        bool left = false;
        std::int64_t delivered = 0;
        std::optional<attempt_id> adopted;
    };
    struct attempt {
        request_id request;
        std::int64_t position = 0;
        bool is_cancelled = false;
    };
    struct event {
        time_point moment;
        std::uint64_t number = 0;
        message told;

        friend bool operator>(const event& a, const event& b) {
            return std::tie(a.moment, a.number) > std::tie(b.moment, b.number);
        }
    };

    bool chance(double probability) {
        return std::bernoulli_distribution(probability)(this->random);
    }
    duration some_time(duration most) {
        return duration(
            static_cast<duration::rep>(this->random() % static_cast<std::uint64_t>(most.count())));
    }

    void announce(int target, membership::directory_event what, bool leaving) {
        membership::directory_change change;
        change.event = what;
        change.record.id = target_id(std::to_string(target));
        change.record.backend = model;
        change.record.place = local_location;
        change.record.slots = 4;
        change.record.leaving = leaving;
        this->check(this->subject.update_target(change, this->now));
    }

    void toggle_leaving(int target) {
        const target_id id(std::to_string(target));
        const bool leaves = !this->leaving.contains(id);
        if (leaves) {
            this->leaving.insert(id);
        } else {
            this->leaving.erase(id);
        }
        this->announce(target, membership::directory_event::changed, leaves);
    }

    void arrive() {
        request_profile profile;
        profile.id = request_id(++this->last_request);
        profile.caller = caller_id(std::to_string(this->random() % 3));
        profile.backend = model;
        profile.work_class = work_class_name(this->chance(0.3) ? "long" : "short");
        profile.repeatable = this->chance(0.6);
        profile.resumable = profile.repeatable;
        profile.outlives_caller = !profile.repeatable;
        this->fates[profile.id].repeatable = profile.repeatable;
        this->notify(request_arrived{profile});
    }

    void leave(request_id request) {
        if (!this->fates[request].ended) {
            this->fates[request].left = true;
            this->notify(caller_disconnected{request});
        }
    }

    void notify(const message& told) { this->check(this->subject.handle(told, this->now)); }

    void pass(duration time) {
        const time_point end = this->now + time;
        while (true) {
            const auto wakeup = this->subject.next_wakeup();
            const bool has_event = !this->events.empty() && this->events.top().moment <= end;
            if (wakeup && *wakeup <= end && (!has_event || *wakeup <= this->events.top().moment)) {
                this->now = std::max(this->now, *wakeup);
                this->notify(timer_expired{});
            } else if (has_event) {
                const event next = this->events.top();
                this->events.pop();
                this->now = next.moment;
                this->happen(next.told);
            } else {
                break;
            }
        }
        this->now = end;
    }

    /// What a target did; tokens of a cancelled attempt may still be on their way.
    void happen(const message& told) {
        if (const auto* progress = std::get_if<attempt_progressed>(&told)) {
            attempt& one = this->attempts.at(progress->attempt);
            const std::int64_t position = one.position++;
            this->notify(told);
            fate& owner = this->fates.at(one.request);
            if (owner.adopted == progress->attempt && !one.is_cancelled && !owner.ended) {
                CHECK(position == owner.delivered);
                ++owner.delivered;
            }
            return;
        }
        if (const auto* handed = std::get_if<attempt_handed>(&told)) {
            const attempt& one = this->attempts.at(handed->attempt);
            if (one.is_cancelled) {
                return; // a cancelled attempt is never handed over
            }
            fate& owner = this->fates.at(one.request);
            ++owner.handed;
            CHECK((owner.repeatable || owner.handed == 1));
        }
        this->notify(told);
    }

    void schedule(duration delay, const message& told) {
        this->events.push({this->now + delay, ++this->last_event, told});
    }

    void check(const actions& wanted) {
        for (const action& one : wanted) {
            std::visit([this](const auto& alternative) { this->check_one(alternative); }, one);
        }
    }

    void check_one(const send_attempt& sent) {
        fate& owner = this->fates.at(sent.request);
        CHECK_FALSE(this->leaving.contains(sent.target));
        CHECK((!owner.ended || owner.left));
        CHECK(sent.resume_after.count() == owner.delivered);
        CHECK((owner.repeatable || owner.handed == 0));
        this->attempts[sent.attempt] = {sent.request, sent.resume_after.count(), false};
        this->play(sent);
    }

    /// Decides how the attempt goes.
    void play(const send_attempt& sent) {
        if (this->chance(0.15)) {
            this->schedule(this->some_time(5ms),
                           attempt_failed{sent.attempt, attempt_failure::unreachable});
            return;
        }
        this->schedule(0ms, attempt_handed{sent.attempt});
        duration when = this->some_time(50ms);
        const std::int64_t wanted = answer_tokens - sent.resume_after.count();
        const bool is_slow = this->chance(0.2);
        for (std::int64_t i = 0; i < wanted; ++i) {
            when += this->some_time(is_slow ? 900ms : 20ms);
            if (this->chance(0.03)) {
                this->schedule(when, attempt_failed{sent.attempt, attempt_failure::broken});
                return;
            }
            if (this->chance(0.01)) {
                return; // frozen for good
            }
            this->schedule(when, attempt_progressed{sent.attempt, tokens(1)});
        }
        this->schedule(when, attempt_answered{sent.attempt});
        if (this->chance(0.1)) {
            this->schedule(when + 1ms, attempt_answered{sent.attempt});
        }
    }

    void check_one(const adopt_attempt& adopted) {
        fate& owner = this->fates.at(adopted.request);
        // A run that may not be repeated may end after its caller was told unknown.
        CHECK((!owner.ended || !owner.repeatable));
        owner.adopted = adopted.attempt;
        CHECK(this->attempts.at(adopted.attempt).position >= owner.delivered);
    }

    void check_one(const cancel_attempt& cancelled) {
        this->attempts.at(cancelled.attempt).is_cancelled = true;
    }

    void check_one(const complete_request& completed) {
        fate& owner = this->fates.at(completed.request);
        ++owner.completions;
        CHECK(owner.completions == 1);
        if (owner.repeatable) {
            CHECK_FALSE(owner.ended);
            CHECK(owner.delivered == answer_tokens);
        }
        owner.ended = true;
    }

    void check_one(const refuse_request& refused) {
        fate& owner = this->fates.at(refused.request);
        CHECK(owner.completions == 0);
        if (refused.outcome == outcome_kind::not_run) {
            CHECK(owner.handed == 0);
        }
        owner.ended = true;
    }

    std::mt19937_64 random;
    dispatcher subject;
    time_point now{1s};
    std::map<request_id, fate> fates;
    std::map<attempt_id, attempt> attempts;
    std::set<target_id> leaving;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t last_request = 0;
    std::uint64_t last_event = 0;
};

} // namespace

SCENARIO("what must hold of requests holds under any mixture of failures") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        chaos(seed).run();
    }
}
