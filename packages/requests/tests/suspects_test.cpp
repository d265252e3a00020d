#include "quarantine/crash_account.h"
#include "requests/dispatcher.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::requests;
using namespace std::chrono_literals;

namespace {

const location local_location{failure_domain_id("got-a1"), region_id("got-a")};
const backend_name service("provbok");
const request_fingerprint suspect(1, 2);
constexpr duration deadline = 3s;

/// A dispatcher before four targets.
struct suspect_fixture {
    quarantine::crash_account crashes;
    dispatcher subject{local_location, {}, 1, nullptr, &this->crashes};
    time_point now{100s};
    actions latest;

    suspect_fixture() {
        this->subject.set_classes({{work_class_name("query"), urgency::short_work, deadline, 100}});
        for (const char* id : {"t1", "t2", "t3", "t4"}) {
            this->change_target(id, membership::directory_event::added, 1);
        }
    }

    void change_target(const std::string& id, membership::directory_event event,
                       std::uint64_t incarnation, bool leaving = false) {
        membership::directory_change change;
        change.event = event;
        change.record.id = target_id(id);
        change.record.backend = service;
        change.record.place = local_location;
        change.record.slots = 4;
        change.record.incarnation = incarnation_id(incarnation);
        change.record.leaving = leaving;
        this->latest = this->subject.update_target(change, this->now);
    }
    void arrive(std::uint64_t id, std::optional<request_fingerprint> fingerprint = suspect,
                bool resumable = false) {
        request_profile profile;
        profile.id = request_id(id);
        profile.caller = caller_id("counter");
        profile.backend = service;
        profile.work_class = work_class_name("query");
        profile.repeatable = true;
        profile.resumable = resumable;
        profile.fingerprint = fingerprint;
        this->latest = this->subject.handle(request_arrived{profile}, this->now);
    }
    /// The latest attempt's request is written, and the connection breaks.
    send_attempt fail_sent(attempt_failure failure) {
        const send_attempt* sent = this->find<send_attempt>();
        REQUIRE(sent != nullptr);
        const send_attempt failed = *sent;
        this->fail(failed, failure);
        return failed;
    }
    void fail(const send_attempt& sent, attempt_failure failure) {
        static_cast<void>(this->subject.handle(attempt_write_started{sent.attempt}, this->now));
        this->latest = this->subject.handle(attempt_failed{sent.attempt, failure}, this->now);
    }
    void expire_timers() { this->latest = this->subject.handle(timer_expired{}, this->now); }
    void update() {
        actions all;
        for (const request_fingerprint& changed : this->crashes.take_changed(this->now)) {
            const actions more = this->subject.update_suspect(changed, this->now);
            all.insert(all.end(), more.begin(), more.end());
        }
        this->latest = all;
    }
    /// The leading keeper answers the latest demand.
    void answer(quarantine::trial_verdict verdict, duration retry_after = {}) {
        std::optional<quarantine::trial_demand> demand;
        for (const auto& message : this->crashes.collect(this->now)) {
            if (const auto* sent = std::get_if<quarantine::trial_demand>(&message)) {
                demand = *sent;
            }
        }
        REQUIRE(demand);
        this->crashes.handle(
            quarantine::trial_decision{suspect, demand->number, verdict, retry_after}, this->now);
        this->update();
    }
    /// The leading keeper tells of three targets that ended elsewhere.
    void quarantine() {
        quarantine::suspect_update update;
        update.fingerprint = suspect;
        update.state = quarantine::suspect_state::quarantined;
        update.crashes = 3;
        for (const char* id : {"x1", "x2", "x3"}) {
            update.latest.push_back(
                {target_id(id), incarnation_id(1), quarantine::crash_status::proven, true, 1s});
        }
        update.next_trial_in = 30s;
        this->crashes.handle(update, this->now);
        this->update();
    }

    template <typename Action>
    const Action* find() const {
        for (const action& returned : this->latest) {
            if (const auto* match = std::get_if<Action>(&returned)) {
                return match;
            }
        }
        return nullptr;
    }
};

} // namespace

// Guards against a request that ends as many targets as its route allows attempts, each time that
// its client retries.
SCENARIO("a request under which targets ended is held back") {
    suspect_fixture fixture;
    GIVEN("one broken connection under it") {
        fixture.arrive(1);
        fixture.fail_sent(attempt_failure::disconnected);
        const send_attempt* retry = fixture.find<send_attempt>();
        REQUIRE(retry != nullptr);
        const send_attempt sent = *retry;
        CHECK(sent.cause == send_cause::retry);
        THEN("its retry gets no hedge") {
            fixture.now += 2s;
            fixture.expire_timers();
            CHECK(fixture.find<send_attempt>() == nullptr);
        }
        WHEN("the same comes from another caller's attempt") {
            fixture.arrive(2);
            THEN("it waits until the first copy has ended") {
                CHECK(fixture.latest.empty());
                fixture.latest =
                    fixture.subject.handle(attempt_completed{sent.attempt}, fixture.now);
                CHECK(fixture.find<complete_request>() != nullptr);
                fixture.update();
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->request == request_id(2));
                CHECK(fixture.crashes.suspects() == 0);
            }
        }
        WHEN("another request comes") {
            fixture.arrive(3, request_fingerprint(5, 5));
            THEN("it is sent") {
                CHECK(fixture.find<send_attempt>() != nullptr);
            }
        }
    }
    GIVEN("two broken connections under it") {
        fixture.arrive(1);
        fixture.fail_sent(attempt_failure::disconnected);
        fixture.fail_sent(attempt_failure::disconnected);
        CHECK(fixture.latest.empty());
        CHECK(fixture.subject.has_request(request_id(1)));
        WHEN("a trial is granted") {
            fixture.answer(quarantine::trial_verdict::granted);
            THEN("its retry is sent, and a third crash refuses the request") {
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->cause == send_cause::retry);
                fixture.fail_sent(attempt_failure::disconnected);
                CHECK(fixture.latest.empty());
                fixture.answer(quarantine::trial_verdict::refused, 30s);
                REQUIRE(fixture.find<refuse_request>() != nullptr);
                CHECK(fixture.find<refuse_request>()->reason == refusal_reason::quarantined);
                CHECK(fixture.find<refuse_request>()->outcome == outcome_kind::unknown);
                CHECK(fixture.find<refuse_request>()->retry_after == 30s);
            }
        }
        WHEN("no trial comes by its deadline") {
            fixture.now += deadline;
            fixture.expire_timers();
            THEN("it is refused then, and waits no longer") {
                REQUIRE(fixture.find<refuse_request>() != nullptr);
                CHECK(fixture.find<refuse_request>()->reason == refusal_reason::deadline_passed);
                for (const auto& message : fixture.crashes.collect(fixture.now)) {
                    CHECK_FALSE(std::holds_alternative<quarantine::trial_demand>(message));
                }
            }
        }
        WHEN("one of the targets turns out alive") {
            fixture.crashes.record_target_alive(fixture.crashes.unproven_targets()[0].target,
                                                incarnation_id(1), fixture.now);
            fixture.update();
            THEN("its retry is sent") {
                CHECK(fixture.find<send_attempt>() != nullptr);
            }
        }
        WHEN("its caller leaves") {
            fixture.latest =
                fixture.subject.handle(caller_disconnected{request_id(1)}, fixture.now);
            THEN("nothing is left of it") {
                CHECK_FALSE(fixture.subject.has_request(request_id(1)));
                fixture.update();
                CHECK(fixture.latest.empty());
            }
        }
    }
    GIVEN("three targets that ended under it elsewhere") {
        fixture.quarantine();
        fixture.arrive(1);
        THEN("it is refused at once as not run, with the time of the next trial") {
            REQUIRE(fixture.find<refuse_request>() != nullptr);
            CHECK(fixture.find<refuse_request>()->reason == refusal_reason::quarantined);
            CHECK(fixture.find<refuse_request>()->outcome == outcome_kind::not_run);
            CHECK(fixture.find<refuse_request>()->retry_after == 30s);
        }
        THEN("requests that are not subject to it, as items, are sent") {
            fixture.arrive(2, std::nullopt);
            CHECK(fixture.find<send_attempt>() != nullptr);
        }
    }
    GIVEN("a stream that has stalled, and a broken connection under its copy") {
        fixture.arrive(1, suspect, true);
        const send_attempt* first = fixture.find<send_attempt>();
        REQUIRE(first != nullptr);
        const attempt_id attempt = first->attempt;
        fixture.latest =
            fixture.subject.handle(attempt_progressed{attempt, tokens(1)}, fixture.now);
        fixture.arrive(2, suspect, true);
        fixture.fail_sent(attempt_failure::disconnected);
        fixture.now += 1s;
        fixture.expire_timers();
        THEN("it is not resumed beside the attempt that runs") {
            for (const action& returned : fixture.latest) {
                const auto* sent = std::get_if<send_attempt>(&returned);
                CHECK((sent == nullptr || sent->request != request_id(1)));
            }
        }
    }
}

SCENARIO("what is no crash raises no suspicion") {
    suspect_fixture fixture;
    GIVEN("failures of other kinds") {
        fixture.arrive(1);
        fixture.fail_sent(attempt_failure::broken);
        fixture.fail_sent(attempt_failure::declined);
        fixture.fail_sent(attempt_failure::unreachable);
        THEN("the request is sent on freely") {
            CHECK(fixture.find<send_attempt>() != nullptr);
            CHECK(fixture.crashes.suspects() == 0);
        }
    }
    GIVEN("a target that leaves") {
        fixture.arrive(1);
        const send_attempt sent = *fixture.find<send_attempt>();
        fixture.change_target(sent.target.value(), membership::directory_event::changed, 1, true);
        fixture.fail(sent, attempt_failure::disconnected);
        THEN("its broken connections don't count") {
            CHECK(fixture.find<send_attempt>() != nullptr);
            CHECK(fixture.crashes.suspects() == 0);
        }
    }
    GIVEN("items, under which connections break again and again") {
        fixture.arrive(1, std::nullopt);
        for (int i = 0; i < 3; ++i) {
            fixture.fail_sent(attempt_failure::disconnected);
            CHECK(fixture.find<send_attempt>() != nullptr);
        }
        THEN("no crash is counted") {
            CHECK(fixture.crashes.suspects() == 0);
            CHECK(fixture.crashes.collect(fixture.now).empty());
        }
    }
    GIVEN("a target that comes back as another incarnation") {
        fixture.arrive(1);
        const send_attempt failed = fixture.fail_sent(attempt_failure::disconnected);
        fixture.change_target(failed.target.value(), membership::directory_event::restarted, 2);
        THEN("that proves the crash") {
            CHECK(fixture.crashes.unproven_targets().empty());
            const auto messages = fixture.crashes.collect(fixture.now);
            REQUIRE(messages.size() == 2);
            CHECK(std::get<quarantine::crash_report>(messages[1]).crash.status ==
                  quarantine::crash_status::proven);
        }
    }
}
