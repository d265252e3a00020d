#include "requests/dispatcher.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace kingcupcart;
using namespace kingcupcart::requests;
using namespace std::chrono_literals;

namespace {

const location local_location{failure_domain_id("got-a1"), region_id("got-a")};
const backend_name model("stylist-lm");

/// A dispatcher with targets, and the actions that its latest call returned.
struct dispatcher_fixture {
    dispatcher subject{local_location, {}, 1};
    time_point now{1s};
    actions latest;

    dispatcher_fixture() {
        subject.set_classes({{work_class_name("query"), urgency::short_work, 10s, 2},
                             {work_class_name("draft"), urgency::long_work, 60s, 2}});
    }

    void add_target(const char* id, int slots = 1) {
        membership::directory_change change;
        change.event = membership::directory_event::added;
        change.record.id = target_id(id);
        change.record.backend = model;
        change.record.place = local_location;
        change.record.slots = slots;
        this->latest = this->subject.update_target(change, this->now);
    }

    void dispatch(const message& incoming) {
        this->latest = this->subject.handle(incoming, this->now);
    }

    void arrive(std::uint64_t id, bool repeatable, const char* work = "query") {
        request_profile profile;
        profile.id = request_id(id);
        profile.caller = caller_id("counter");
        profile.backend = model;
        profile.work_class = work_class_name(work);
        profile.repeatable = repeatable;
        profile.resumable = repeatable;
        profile.continues_after_disconnect = !repeatable;
        this->dispatch(request_arrived{profile});
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

    attempt_id sent_attempt() const {
        const auto* send = this->find<send_attempt>();
        REQUIRE(send != nullptr);
        return send->attempt;
    }

    outcome_kind refusal_outcome() const {
        const auto* refusal = this->find<refuse_request>();
        REQUIRE(refusal != nullptr);
        return refusal->outcome;
    }
};

} // namespace

SCENARIO("a request gets one complete response") {
    dispatcher_fixture fixture;
    fixture.add_target("a");
    GIVEN("a request that was sent to its target") {
        fixture.arrive(1, true);
        const attempt_id first = fixture.sent_attempt();
        fixture.dispatch(attempt_write_started{first});
        WHEN("the target sends output and completes the response") {
            fixture.dispatch(attempt_progressed{first, tokens(1)});
            CHECK(fixture.find<select_attempt>() != nullptr);
            fixture.dispatch(attempt_completed{first});
            THEN("the request is completed and removed") {
                CHECK(fixture.find<complete_request>() != nullptr);
                CHECK(fixture.subject.open_requests() == 0);
            }
        }
        WHEN("the caller disconnects") {
            fixture.dispatch(caller_disconnected{request_id(1)});
            THEN("the attempt is cancelled at the target") {
                CHECK(fixture.find<cancel_attempt>() != nullptr);
                CHECK(fixture.subject.open_requests() == 0);
            }
        }
        WHEN("a second request arrives and the target has no room") {
            fixture.arrive(2, true);
            CHECK(fixture.latest.empty());
            THEN("it is sent when the first request ends") {
                fixture.dispatch(attempt_completed{first});
                CHECK(fixture.find<send_attempt>()->request == request_id(2));
            }
            THEN("it is refused as not run at its deadline") {
                fixture.now += 5s;
                fixture.dispatch(attempt_progressed{first, tokens(1)});
                fixture.now += 5s;
                fixture.dispatch(timer_expired{});
                CHECK(fixture.subject.open_requests() == 0);
                bool was_refused = false;
                for (const action& returned : fixture.latest) {
                    const auto* refusal = std::get_if<refuse_request>(&returned);
                    if (refusal != nullptr && refusal->request == request_id(2)) {
                        was_refused = refusal->outcome == outcome_kind::not_run;
                    }
                }
                CHECK(was_refused);
            }
        }
    }
}

SCENARIO("a request that is not repeatable runs at most once") {
    dispatcher_fixture fixture;
    fixture.add_target("a");
    fixture.add_target("b");
    fixture.arrive(1, false);
    const attempt_id first = fixture.sent_attempt();
    GIVEN("its target is unreachable") {
        fixture.dispatch(attempt_failed{first, attempt_failure::unreachable});
        THEN("it is sent to another target, since nothing was transmitted") {
            CHECK(fixture.find<send_attempt>()->cause == send_cause::retry);
        }
        AND_WHEN("the other target is unreachable too") {
            fixture.dispatch(attempt_failed{fixture.sent_attempt(), attempt_failure::unreachable});
            THEN("it is refused as not run") {
                CHECK(fixture.refusal_outcome() == outcome_kind::not_run);
            }
        }
    }
    GIVEN("its transmission has started") {
        fixture.dispatch(attempt_write_started{first});
        WHEN("the connection breaks") {
            fixture.dispatch(attempt_failed{first, attempt_failure::broken});
            THEN("it is not sent again, and the outcome is unknown") {
                CHECK(fixture.find<send_attempt>() == nullptr);
                CHECK(fixture.refusal_outcome() == outcome_kind::unknown);
            }
        }
        WHEN("the response is late") {
            fixture.now += 9s;
            fixture.dispatch(timer_expired{});
            THEN("no hedge is sent") {
                CHECK(fixture.latest.empty());
            }
        }
        WHEN("its deadline passes") {
            fixture.now += 10s;
            fixture.dispatch(timer_expired{});
            THEN("the outcome is unknown, and the run is not cancelled") {
                CHECK(fixture.refusal_outcome() == outcome_kind::unknown);
                CHECK(fixture.find<cancel_attempt>() == nullptr);
            }
            THEN("a late response still completes it for resent requests") {
                fixture.dispatch(attempt_completed{first});
                CHECK(fixture.find<complete_request>() != nullptr);
            }
        }
        WHEN("the caller disconnects") {
            fixture.dispatch(caller_disconnected{request_id(1)});
            THEN("the run is not cancelled") {
                CHECK(fixture.latest.empty());
                CHECK(fixture.subject.open_requests() == 1);
            }
        }
    }
}

SCENARIO("hedges and resumes compensate for slow and broken targets") {
    dispatcher_fixture fixture;
    fixture.add_target("a");
    fixture.add_target("b");
    fixture.arrive(1, true);
    const attempt_id first = fixture.sent_attempt();
    fixture.dispatch(attempt_write_started{first});
    GIVEN("no output before the hedge delay") {
        fixture.now += 1s;
        fixture.dispatch(timer_expired{});
        const attempt_id second = fixture.sent_attempt();
        CHECK(fixture.find<send_attempt>()->cause == send_cause::hedge);
        WHEN("the second target responds first") {
            fixture.dispatch(attempt_progressed{second, tokens(1)});
            THEN("its attempt is selected and the first one cancelled") {
                CHECK(fixture.find<select_attempt>()->attempt == second);
                CHECK(fixture.find<cancel_attempt>()->attempt == first);
            }
        }
    }
    GIVEN("a stream that breaks after three tokens") {
        fixture.dispatch(attempt_progressed{first, tokens(3)});
        fixture.dispatch(attempt_failed{first, attempt_failure::broken});
        THEN("the other target resumes after the third token") {
            const auto* resumed = fixture.find<send_attempt>();
            REQUIRE(resumed != nullptr);
            CHECK(resumed->cause == send_cause::resume);
            CHECK(resumed->resume_after == tokens(3));
        }
    }
    GIVEN("a stream that waits for its caller after three tokens") {
        fixture.dispatch(attempt_progressed{first, tokens(3)});
        fixture.dispatch(attempt_paused{first, true});
        fixture.now += 2s;
        fixture.dispatch(timer_expired{});
        THEN("it does not count as stalled") {
            CHECK(fixture.find<send_attempt>() == nullptr);
        }
        WHEN("the caller reads on, and the target stays silent") {
            fixture.dispatch(attempt_paused{first, false});
            fixture.dispatch(timer_expired{});
            CHECK(fixture.find<send_attempt>() == nullptr);
            fixture.now += 2s;
            fixture.dispatch(timer_expired{});
            THEN("it resumes on the other target") {
                CHECK(fixture.find<send_attempt>()->resume_after == tokens(3));
            }
        }
    }
    GIVEN("a stream that stalls after three tokens") {
        fixture.dispatch(attempt_progressed{first, tokens(3)});
        fixture.now += 2s;
        fixture.dispatch(timer_expired{});
        const attempt_id second = fixture.sent_attempt();
        CHECK(fixture.find<send_attempt>()->resume_after == tokens(3));
        WHEN("it continues before the resuming attempt has output") {
            fixture.dispatch(attempt_progressed{first, tokens(1)});
            fixture.dispatch(attempt_progressed{second, tokens(1)});
            THEN("the resuming attempt is a token behind and is cancelled") {
                CHECK(fixture.find<select_attempt>() == nullptr);
                CHECK(fixture.find<cancel_attempt>()->attempt == second);
            }
        }
        WHEN("it continues and completes before the resuming attempt has output") {
            fixture.dispatch(attempt_progressed{first, tokens(1)});
            fixture.dispatch(attempt_completed{first});
            THEN("the resuming attempt is cancelled, and its later output is ignored") {
                REQUIRE(fixture.find<cancel_attempt>() != nullptr);
                CHECK(fixture.find<cancel_attempt>()->attempt == second);
                fixture.dispatch(attempt_progressed{second, tokens(1)});
                CHECK(fixture.latest.empty());
            }
        }
    }
}

SCENARIO("an overloaded dispatcher refuses requests early and as not run") {
    dispatcher_fixture fixture;
    GIVEN("no target") {
        fixture.arrive(1, true);
        CHECK(fixture.refusal_outcome() == outcome_kind::not_run);
        CHECK(fixture.find<refuse_request>()->retry_after > duration{});
    }
    GIVEN("a full queue") {
        fixture.add_target("a");
        for (std::uint64_t id = 1; id <= 3; ++id) {
            fixture.arrive(id, true);
        }
        fixture.arrive(4, true);
        CHECK(fixture.find<refuse_request>()->reason == refusal_reason::queue_full);
        CHECK(fixture.refusal_outcome() == outcome_kind::not_run);
    }
    // Guards against equal values of Retry-After, with which all rejected callers return at once.
    GIVEN("a full queue that drains by one request a second") {
        fixture.add_target("a");
        fixture.arrive(1, true);
        attempt_id running = fixture.sent_attempt();
        fixture.arrive(2, true);
        for (std::uint64_t id = 3; id <= 6; ++id) {
            fixture.arrive(id, true);
            fixture.now += 1s;
            fixture.dispatch(attempt_completed{running});
            running = fixture.sent_attempt();
        }
        fixture.arrive(7, true);
        WHEN("more requests arrive") {
            std::set<duration> returns;
            for (std::uint64_t id = 10; id < 30; ++id) {
                fixture.arrive(id, true);
                REQUIRE(fixture.find<refuse_request>() != nullptr);
                returns.insert(fixture.find<refuse_request>()->retry_after);
            }
            THEN("their callers return when there is room, and not together") {
                CHECK(returns.size() == 20);
                CHECK(*returns.begin() >= 2s);
                CHECK(*returns.rbegin() <= 3s);
                CHECK(*returns.rbegin() - *returns.begin() >= 500ms);
            }
        }
    }
    GIVEN("short work that arrives after long work") {
        fixture.add_target("a");
        fixture.arrive(1, true, "draft");
        const attempt_id running = fixture.sent_attempt();
        fixture.arrive(2, true, "draft");
        fixture.arrive(3, true, "query");
        THEN("it is sent first when the target has room") {
            fixture.dispatch(attempt_completed{running});
            CHECK(fixture.find<send_attempt>()->request == request_id(3));
        }
    }
    // Such streams were answered with an empty body that looked complete.
    GIVEN("a stream that can't be resumed") {
        fixture.add_target("a");
        fixture.add_target("b");
        request_profile profile;
        profile.id = request_id(1);
        profile.caller = caller_id("counter");
        profile.backend = model;
        profile.work_class = work_class_name("query");
        profile.is_streamed = true;
        fixture.dispatch(request_arrived{profile});
        const attempt_id running = fixture.sent_attempt();
        fixture.dispatch(attempt_write_started{running});
        WHEN("its first output arrives") {
            fixture.dispatch(attempt_progressed{running, tokens(1)});
            THEN("it is forwarded") {
                REQUIRE(fixture.find<select_attempt>() != nullptr);
                CHECK(fixture.find<select_attempt>()->attempt == running);
            }
            AND_WHEN("it breaks off") {
                fixture.dispatch(attempt_failed{running, attempt_failure::broken});
                THEN("it ends with an unknown outcome, and is not sent again") {
                    CHECK(fixture.refusal_outcome() == outcome_kind::unknown);
                    CHECK(fixture.find<send_attempt>() == nullptr);
                }
            }
        }
    }
    GIVEN("an instance that is stopping") {
        fixture.add_target("a");
        fixture.latest = fixture.subject.begin_stop(time_point::max(), fixture.now);
        fixture.arrive(1, true);
        CHECK(fixture.find<refuse_request>()->reason == refusal_reason::stopping);
    }
    GIVEN("an instance that stops while one request runs and another one waits") {
        fixture.add_target("a");
        fixture.arrive(1, true, "draft");
        const attempt_id running = fixture.sent_attempt();
        fixture.dispatch(attempt_write_started{running});
        fixture.arrive(2, true, "draft");
        fixture.latest = fixture.subject.begin_stop(fixture.now + 5s, fixture.now);
        WHEN("the running request ends before the deadline of the stop") {
            fixture.now += 4s;
            fixture.dispatch(attempt_completed{running});
            THEN("it is answered, and the other one is sent") {
                CHECK(fixture.find<complete_request>()->request == request_id(1));
                CHECK(fixture.find<send_attempt>()->request == request_id(2));
            }
        }
        WHEN("the deadline of the stop passes") {
            REQUIRE(fixture.subject.next_wakeup() <= fixture.now + 5s);
            fixture.now += 5s;
            fixture.dispatch(timer_expired{});
            THEN("both get a final response, and only the one that waited has not run") {
                std::map<request_id, outcome_kind> outcomes;
                for (const action& returned : fixture.latest) {
                    if (const auto* refused = std::get_if<refuse_request>(&returned)) {
                        outcomes[refused->request] = refused->outcome;
                    }
                }
                CHECK(outcomes[request_id(1)] == outcome_kind::unknown);
                CHECK(outcomes[request_id(2)] == outcome_kind::not_run);
                CHECK(fixture.subject.open_requests() == 0);
            }
        }
    }
}

// Guards against requests that were taken late in the grace period of a planned stop and cut at its
// end, since their service needs longer than what remained.
SCENARIO("a stopping instance takes no request that it can't finish") {
    dispatcher_fixture fixture;
    fixture.add_target("a", 10);
    const auto run = [&](std::uint64_t id, duration time) {
        fixture.arrive(id, false);
        const attempt_id attempt = fixture.sent_attempt();
        fixture.now += time;
        fixture.dispatch(attempt_completed{attempt});
    };
    const auto announce = [&](duration remaining) {
        fixture.latest = fixture.subject.announce_stop(fixture.now + remaining, fixture.now);
    };
    const auto check_refused = [&] {
        CHECK(fixture.find<send_attempt>() == nullptr);
        REQUIRE(fixture.find<refuse_request>() != nullptr);
        CHECK(fixture.refusal_outcome() == outcome_kind::not_run);
        CHECK(fixture.find<refuse_request>()->reason == refusal_reason::stopping);
    };

    GIVEN("a service whose runs take 2 s") {
        for (std::uint64_t id = 1; id <= 20; ++id) {
            run(id, 2s);
        }
        WHEN("a request arrives while 6 s remain") {
            announce(6s);
            fixture.arrive(100, false);
            THEN("it is sent") {
                CHECK(fixture.find<send_attempt>() != nullptr);
            }
        }
        WHEN("a request arrives while 1 s remains") {
            announce(6s);
            fixture.now += 5s;
            fixture.arrive(100, false);
            THEN("it is refused at once as not run") {
                check_refused();
            }
        }
        WHEN("its own deadline ends before the stop") {
            announce(11s);
            fixture.now += 100ms;
            fixture.arrive(100, false);
            THEN("it is sent") {
                CHECK(fixture.find<send_attempt>() != nullptr);
            }
        }
    }
    GIVEN("a service whose run times are not known") {
        announce(6s);
        WHEN("a request that must not be repeated could outlast the stop") {
            fixture.arrive(1, false);
            THEN("it is left to another instance") {
                check_refused();
            }
        }
        WHEN("the request may be repeated") {
            fixture.arrive(1, true);
            THEN("it is sent") {
                CHECK(fixture.find<send_attempt>() != nullptr);
            }
        }
    }
    GIVEN("requests that wait for a target") {
        for (std::uint64_t id = 1; id <= 20; ++id) {
            run(id, 2s);
        }
        std::vector<attempt_id> running;
        while (running.empty() || fixture.find<send_attempt>() != nullptr) {
            fixture.arrive(100 + running.size(), false);
            if (fixture.find<send_attempt>() != nullptr) {
                running.push_back(fixture.sent_attempt());
                fixture.dispatch(attempt_write_started{running.back()});
                CHECK(fixture.find<send_attempt>() == nullptr);
                fixture.latest.push_back(send_attempt{});
            }
        }
        REQUIRE(fixture.subject.queued_requests() == 1);
        const auto waiting = request_id(100 + running.size());
        WHEN("the stop leaves too little time for them") {
            announce(1s);
            THEN("they are refused at once, and those that run are not") {
                REQUIRE(fixture.find<refuse_request>() != nullptr);
                CHECK(fixture.find<refuse_request>()->request == waiting);
                CHECK(fixture.refusal_outcome() == outcome_kind::not_run);
                CHECK(fixture.subject.open_requests() == running.size());
            }
        }
        WHEN("the time runs out while they wait") {
            announce(5s);
            CHECK(fixture.latest.empty());
            REQUIRE(fixture.subject.next_wakeup() <= fixture.now + 3s);
            fixture.now += 3s;
            fixture.dispatch(timer_expired{});
            THEN("they are refused then, not at the end") {
                REQUIRE(fixture.find<refuse_request>() != nullptr);
                CHECK(fixture.find<refuse_request>()->request == waiting);
                CHECK(fixture.refusal_outcome() == outcome_kind::not_run);
            }
        }
    }
}
