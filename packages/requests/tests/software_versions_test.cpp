#include "permits/permit_account.h"
#include "requests/dispatcher.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::requests;
using namespace std::chrono_literals;

namespace {

const location local_location{failure_domain_id("got-a1"), region_id("got-a")};
const backend_name model("stylist-lm");
const software_version v1("v1");
const software_version v2("v2");
const software_version v3("v3");

/// A dispatcher before targets of several software versions.
struct versions_fixture {
    permits::permit_account permits{{}, 1};
    dispatcher subject;
    time_point now{100s};
    actions latest;

    explicit versions_fixture(std::uint64_t seed = 1)
        : subject(local_location, {}, seed, &this->permits) {
        subject.set_classes({{work_class_name("query"), urgency::short_work, 10s, 10},
                             {work_class_name("draft"), urgency::long_work, 60s, 10}});
    }

    void announce(const std::string& id, const software_version& software,
                  std::uint64_t incarnation = 1,
                  membership::directory_event event = membership::directory_event::added,
                  bool leaving = false, int slots = 4) {
        membership::directory_change change;
        change.event = event;
        change.record.id = target_id(id);
        change.record.backend = model;
        change.record.place = local_location;
        change.record.slots = slots;
        change.record.incarnation = incarnation_id(incarnation);
        change.record.software = software;
        change.record.leaving = leaving;
        this->latest = this->subject.update_target(change, this->now);
    }
    void add(const std::string& id, const software_version& software, int slots = 4) {
        this->announce(id, software, 1, membership::directory_event::added, false, slots);
    }
    void restart(const std::string& id, const software_version& software,
                 std::uint64_t incarnation = 2) {
        this->announce(id, software, incarnation, membership::directory_event::restarted);
    }
    void leave(const std::string& id, const software_version& software) {
        this->announce(id, software, 1, membership::directory_event::changed, true);
    }
    void remove(const std::string& id, const software_version& software) {
        this->announce(id, software, 1, membership::directory_event::removed);
    }

    void dispatch(const message& incoming) {
        this->latest = this->subject.handle(incoming, this->now);
    }
    void arrive(std::uint64_t id, const std::optional<software_version>& software = std::nullopt,
                const char* work = "query") {
        request_profile profile;
        profile.id = request_id(id);
        profile.caller = caller_id("counter");
        profile.backend = model;
        profile.work_class = work_class_name(work);
        profile.repeatable = true;
        profile.resumable = true;
        profile.is_streamed = true;
        profile.software = software;
        this->dispatch(request_arrived{profile});
    }
    /// Sends the request to the target that was chosen, which sends its first event.
    attempt_id begin_stream(std::uint64_t id, const char* work = "query") {
        this->arrive(id, std::nullopt, work);
        const attempt_id attempt = this->sent_attempt();
        this->dispatch(attempt_write_started{attempt});
        this->dispatch(attempt_progressed{attempt, tokens(1)});
        return attempt;
    }
    void fail(attempt_id attempt, attempt_failure failure = attempt_failure::broken) {
        this->dispatch(attempt_failed{attempt, failure});
    }
    void expire_timers_after(duration time) {
        this->now += time;
        this->dispatch(timer_expired{});
    }

    template <typename Action>
    [[nodiscard]] const Action* find() const {
        for (const action& returned : this->latest) {
            if (const auto* match = std::get_if<Action>(&returned)) {
                return match;
            }
        }
        return nullptr;
    }
    [[nodiscard]] attempt_id sent_attempt() const {
        const auto* sent = this->find<send_attempt>();
        REQUIRE(sent != nullptr);
        return sent->attempt;
    }
    /// The target of the latest attempt; empty if none was sent.
    [[nodiscard]] std::string sent_to() const {
        const auto* sent = this->find<send_attempt>();
        return sent == nullptr ? "" : sent->target.value();
    }
    [[nodiscard]] bool has_refused(std::uint64_t id, outcome_kind outcome) const {
        for (const action& returned : this->latest) {
            const auto* refused = std::get_if<refuse_request>(&returned);
            if (refused != nullptr && refused->request == request_id(id)) {
                return refused->outcome == outcome;
            }
        }
        return false;
    }
    /// The version that the stream was bound to, "unknown", or "" if it was not bound.
    [[nodiscard]] std::string bound_to() const {
        const auto* bound = this->find<bind_stream>();
        if (bound == nullptr) {
            return "";
        }
        return bound->software ? bound->software->value() : "unknown";
    }
    /// Whether the stream has become one of unknown version and was broken off.
    [[nodiscard]] bool has_broken_off(std::uint64_t id) const {
        return this->bound_to() == "unknown" && this->has_refused(id, outcome_kind::unknown) &&
               this->find<complete_request>() == nullptr &&
               !this->subject.has_request(request_id(id));
    }
};

} // namespace

// Streams held events of targets of two software versions.
SCENARIO("a stream that broke off resumes only at the version of its first event") {
    GIVEN("two targets of each of three versions") {
        const std::map<std::string, software_version> targets{{"a1", v1}, {"a2", v1}, {"b1", v2},
                                                              {"b2", v2}, {"c1", v3}, {"c2", v3}};
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(seed);
            versions_fixture fixture(seed);
            for (const auto& [id, software] : targets) {
                fixture.add(id, software);
            }
            SUBCASE(
                ("When: a stream breaks off after its first event, seed " + std::to_string(seed))
                    .c_str()) {
                fixture.arrive(1);
                const std::string began_at = fixture.sent_to();
                const attempt_id first = fixture.sent_attempt();
                fixture.dispatch(attempt_write_started{first});
                fixture.dispatch(attempt_progressed{first, tokens(1)});
                CHECK(fixture.bound_to() == targets.at(began_at).value());
                fixture.fail(first);
                THEN("the other target of its version goes on, and it is bound once") {
                    REQUIRE(fixture.sent_to() != "");
                    CHECK(targets.at(fixture.sent_to()) == targets.at(began_at));
                    const attempt_id second = fixture.sent_attempt();
                    fixture.dispatch(attempt_progressed{second, tokens(1)});
                    CHECK(fixture.find<select_attempt>() != nullptr);
                    CHECK(fixture.bound_to() == "");
                    AND_WHEN("that one breaks off as well") {
                        fixture.fail(second);
                        THEN("the answer breaks off, as no target of the version is left") {
                            CHECK(fixture.sent_to() == "");
                            CHECK(fixture.has_refused(1, outcome_kind::unknown));
                            CHECK(fixture.find<complete_request>() == nullptr);
                        }
                    }
                }
            }
            SUBCASE(
                ("When: a stream breaks off before its first event, seed " + std::to_string(seed))
                    .c_str()) {
                fixture.arrive(1);
                const attempt_id first = fixture.sent_attempt();
                const std::string began_at = fixture.sent_to();
                fixture.dispatch(attempt_write_started{first});
                fixture.fail(first);
                THEN("any version may begin it") {
                    CHECK(fixture.sent_to() != "");
                    CHECK(fixture.sent_to() != began_at);
                    CHECK(fixture.bound_to() == "");
                }
            }
        }
    }
    GIVEN("targets that state no version") {
        versions_fixture fixture;
        fixture.add("a", software_version());
        const attempt_id first = fixture.begin_stream(1);
        fixture.add("b", v1);
        WHEN("the stream breaks off while another one states none either") {
            fixture.add("c", software_version());
            fixture.fail(first);
            THEN("it goes on there, not at the one with a version") {
                CHECK(fixture.sent_to() == "c");
            }
        }
        WHEN("the stream breaks off while only one with a version is left") {
            fixture.fail(first);
            THEN("the answer breaks off") {
                CHECK(fixture.sent_to() == "");
                CHECK(fixture.has_refused(1, outcome_kind::unknown));
            }
        }
    }
}

// A hedge after the first event joined the events of two software versions.
SCENARIO("a hedge keeps to the version of the stream's first event") {
    versions_fixture fixture;
    fixture.add("a1", v1);
    GIVEN("a stream without an event, and a target of another version") {
        fixture.arrive(1);
        const attempt_id first = fixture.sent_attempt();
        fixture.dispatch(attempt_write_started{first});
        fixture.add("b1", v2);
        fixture.expire_timers_after(1s);
        REQUIRE(fixture.sent_to() == "b1");
        const attempt_id second = fixture.sent_attempt();
        WHEN("the hedge brings the first event") {
            fixture.dispatch(attempt_progressed{second, tokens(1)});
            THEN("the stream is bound to its version") {
                CHECK(fixture.find<cancel_attempt>()->attempt == first);
                CHECK(fixture.bound_to() == "v2");
            }
            AND_WHEN("it breaks off") {
                fixture.add("a2", v1);
                fixture.add("b2", v2);
                fixture.fail(second);
                THEN("a target of the hedge's version resumes") {
                    CHECK(fixture.sent_to() == "b2");
                }
            }
        }
    }
    GIVEN("a stream that stalls after its first event") {
        const attempt_id first = fixture.begin_stream(1);
        WHEN("all other targets are of another version") {
            fixture.add("b1", v2);
            fixture.expire_timers_after(2s);
            THEN("it waits for the target that began it") {
                CHECK(fixture.latest.empty());
                fixture.dispatch(attempt_progressed{first, tokens(1)});
                fixture.dispatch(attempt_completed{first});
                CHECK(fixture.find<complete_request>() != nullptr);
            }
        }
        WHEN("another target is of its version") {
            fixture.add("b1", v2);
            fixture.add("a2", v1);
            fixture.expire_timers_after(2s);
            THEN("that one resumes") {
                CHECK(fixture.sent_to() == "a2");
            }
        }
    }
    GIVEN("a resumed stream whose second target is silent") {
        const attempt_id first = fixture.begin_stream(1);
        fixture.add("a2", v1);
        fixture.fail(first);
        REQUIRE(fixture.sent_to() == "a2");
        fixture.dispatch(attempt_write_started{fixture.sent_attempt()});
        fixture.add("b1", v2);
        fixture.expire_timers_after(2s);
        THEN("no target of another version hedges it") {
            CHECK(fixture.sent_to() == "");
        }
        THEN("another target of its version does") {
            fixture.add("a3", v1);
            fixture.arrive(2); // moves the clock of the next hedge on
            fixture.expire_timers_after(2s);
            for (const action& returned : fixture.latest) {
                const auto* sent = std::get_if<send_attempt>(&returned);
                if (sent != nullptr && sent->request == request_id(1)) {
                    CHECK(sent->target == target_id("a3"));
                }
            }
        }
    }
}

// A draft that made room for short work went on at another version, or lost its only target.
SCENARIO("a preempted draft keeps to its version") {
    /// Of drafts that each began at one of ten targets, where those went on that had to make room.
    /// The target of the lowest rank is the one that short work needs.
    const auto preempted_drafts = [](const software_version& version_of_others) {
        std::vector<std::string> moved_to;
        for (int i = 0; i < 10; ++i) {
            versions_fixture fixture;
            const std::string first = "t" + std::to_string(i);
            fixture.add(first, v1);
            const attempt_id draft = fixture.begin_stream(1, "draft");
            fixture.add("m", version_of_others);
            fixture.add("n", v2);
            for (std::uint64_t id = 10; id < 14; ++id) {
                fixture.arrive(id);
                for (const action& returned : fixture.latest) {
                    const auto* cancelled = std::get_if<cancel_attempt>(&returned);
                    const auto* sent = std::get_if<send_attempt>(&returned);
                    if (cancelled != nullptr && cancelled->attempt == draft) {
                        moved_to.push_back("");
                    } else if (sent != nullptr && sent->request == request_id(1)) {
                        moved_to.back() = sent->target.value();
                    }
                }
                fixture.now += 10s;
            }
        }
        return moved_to;
    };
    GIVEN("drafts whose version has another target") {
        const std::vector<std::string> moved_to = preempted_drafts(v1);
        THEN("they make room and go on there") {
            CHECK_FALSE(moved_to.empty());
            for (const std::string& target : moved_to) {
                CHECK(target == "m");
            }
        }
    }
    GIVEN("drafts whose version has no other target") {
        THEN("they keep their target") {
            CHECK(preempted_drafts(v2).empty());
        }
    }
}

// Streams whose version had no target left went on elsewhere, or waited for their deadline.
SCENARIO("a stream whose version has lost its targets breaks off at once") {
    versions_fixture fixture;
    fixture.add("a1", v1, 1);
    const attempt_id running = fixture.begin_stream(1);
    fixture.add("b1", v2, 1);
    fixture.add("b2", v2, 4);
    GIVEN("its target is leaving") {
        fixture.leave("a1", v1);
        CHECK(fixture.latest.empty());
        WHEN("it sends the rest of the stream") {
            fixture.dispatch(attempt_progressed{running, tokens(1)});
            CHECK(fixture.latest.empty());
            fixture.dispatch(attempt_completed{running});
            THEN("the answer is complete") {
                CHECK(fixture.find<complete_request>() != nullptr);
            }
        }
        WHEN("it breaks off") {
            fixture.fail(running, attempt_failure::disconnected);
            THEN("the answer breaks off without its end") {
                CHECK(fixture.sent_to() == "");
                CHECK(fixture.has_refused(1, outcome_kind::unknown));
                CHECK(fixture.find<complete_request>() == nullptr);
            }
        }
    }
    GIVEN("another stream of its version, which waits for room") {
        fixture.add("a2", v1, 1);
        fixture.arrive(2, v1);
        const attempt_id second = fixture.sent_attempt();
        REQUIRE(fixture.sent_to() == "a2");
        fixture.dispatch(attempt_write_started{second});
        fixture.dispatch(attempt_progressed{second, tokens(1)});
        fixture.arrive(3, v1);
        REQUIRE(fixture.latest.empty());
        REQUIRE(fixture.subject.queued_requests() == 1);
        WHEN("the first target leaves") {
            fixture.leave("a1", v1);
            THEN("it waits for the second") {
                CHECK(fixture.latest.empty());
                fixture.dispatch(attempt_completed{second});
                CHECK(fixture.sent_to() == "a2");
            }
            AND_WHEN("the second leaves as well") {
                fixture.leave("a2", v1);
                THEN("it is refused at once as not run") {
                    CHECK(fixture.has_refused(3, outcome_kind::not_run));
                    CHECK(fixture.subject.queued_requests() == 0);
                }
            }
            AND_WHEN("the second is removed") {
                fixture.remove("a2", v1);
                THEN("it is refused at once as not run") {
                    CHECK(fixture.has_refused(3, outcome_kind::not_run));
                }
            }
            AND_WHEN("the second starts again as another version") {
                fixture.restart("a2", v2);
                THEN("it is refused at once as not run") {
                    CHECK(fixture.has_refused(3, outcome_kind::not_run));
                }
            }
        }
        WHEN("the first stream breaks off") {
            fixture.fail(running);
            THEN("both wait for the second target, in order") {
                CHECK(fixture.latest.empty());
                fixture.dispatch(attempt_completed{second});
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->request == request_id(3));
                CHECK(fixture.sent_to() == "a2");
                fixture.dispatch(attempt_completed{fixture.sent_attempt()});
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->request == request_id(1));
                CHECK(fixture.find<send_attempt>()->resume_after == tokens(1));
                CHECK(fixture.sent_to() == "a2");
            }
            AND_WHEN("the only target that it was not sent to leaves") {
                fixture.leave("a2", v1);
                THEN("it breaks off at once") {
                    CHECK(fixture.has_refused(1, outcome_kind::unknown));
                    CHECK(fixture.subject.has_request(request_id(3)));
                }
            }
        }
        WHEN("the first stream has only the second target left, and waits behind one that has "
             "both") {
            fixture.arrive(4, v1);
            fixture.fail(running, attempt_failure::declined);
            REQUIRE(fixture.find<send_attempt>() != nullptr);
            REQUIRE(fixture.find<send_attempt>()->request == request_id(3));
            REQUIRE(fixture.subject.queued_requests() == 2);
            AND_WHEN("the second target leaves") {
                fixture.leave("a2", v1);
                THEN("it breaks off at once, and the other one waits on") {
                    CHECK(fixture.has_refused(1, outcome_kind::unknown));
                    CHECK(fixture.subject.has_request(request_id(4)));
                    CHECK(fixture.subject.queued_requests() == 1);
                }
            }
        }
    }
}

// Requests of one version that waited for room would have held up those of the others.
SCENARIO("streams that wait for their version hold up no others") {
    versions_fixture fixture;
    fixture.add("a1", v1, 1);
    GIVEN("a full target of the only version, a stream that waits for it, and a request behind") {
        fixture.arrive(1, v1);
        const attempt_id running = fixture.sent_attempt();
        fixture.arrive(2, v1);
        fixture.arrive(3);
        REQUIRE(fixture.subject.queued_requests() == 2);
        WHEN("a target of another version is added") {
            fixture.add("b1", v2, 1);
            THEN("the request is sent there at once, and the stream waits on") {
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->request == request_id(3));
                CHECK(fixture.sent_to() == "b1");
                fixture.dispatch(attempt_completed{running});
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->request == request_id(2));
                CHECK(fixture.sent_to() == "a1");
                CHECK(fixture.subject.queued_requests() == 0);
            }
        }
        WHEN("the target has room") {
            fixture.dispatch(attempt_completed{running});
            THEN("both are sent in order") {
                CHECK(fixture.find<send_attempt>()->request == request_id(2));
                fixture.dispatch(attempt_completed{fixture.sent_attempt()});
                CHECK(fixture.find<send_attempt>()->request == request_id(3));
            }
        }
    }
    GIVEN("a full target of one version, and two streams that wait for it") {
        fixture.add("b1", v2, 1);
        fixture.arrive(1, v1);
        const attempt_id running = fixture.sent_attempt();
        REQUIRE(fixture.sent_to() == "a1");
        fixture.dispatch(attempt_write_started{running});
        fixture.arrive(2, v1);
        fixture.arrive(3, v1);
        REQUIRE(fixture.subject.queued_requests() == 2);
        WHEN("a request arrives that any version may serve") {
            fixture.arrive(4);
            THEN("it is sent to the other version at once") {
                CHECK(fixture.sent_to() == "b1");
            }
            AND_WHEN("one more arrives, and the other version has room again") {
                const attempt_id other = fixture.sent_attempt();
                fixture.arrive(5);
                REQUIRE(fixture.latest.empty());
                fixture.dispatch(attempt_completed{other});
                THEN("it is sent there") {
                    REQUIRE(fixture.find<send_attempt>() != nullptr);
                    CHECK(fixture.find<send_attempt>()->request == request_id(5));
                    CHECK(fixture.sent_to() == "b1");
                }
            }
        }
        WHEN("a stream of the other version arrives") {
            fixture.arrive(4, v2);
            THEN("it is sent at once") {
                CHECK(fixture.sent_to() == "b1");
            }
        }
        WHEN("their version has room again") {
            fixture.dispatch(attempt_completed{running});
            THEN("they are sent there in order") {
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->request == request_id(2));
                CHECK(fixture.sent_to() == "a1");
                CHECK(fixture.subject.queued_requests() == 1);
            }
        }
        WHEN("their deadlines pass") {
            fixture.expire_timers_after(10s);
            THEN("all get their final response") {
                CHECK(fixture.subject.open_requests() == 0);
                CHECK(fixture.subject.queued_requests() == 0);
            }
        }
    }
}

// A stream that a caller took up again went on at any version.
SCENARIO("a stream that is taken up goes on only at its version") {
    versions_fixture fixture;
    fixture.add("b1", v2);
    GIVEN("no target of its version") {
        fixture.arrive(1, v1);
        THEN("it is refused at once as not run") {
            CHECK(fixture.sent_to() == "");
            CHECK(fixture.has_refused(1, outcome_kind::not_run));
        }
    }
    GIVEN("no target of its version, and requests that wait for the other one") {
        for (std::uint64_t id = 10; id < 15; ++id) {
            fixture.arrive(id);
        }
        REQUIRE(fixture.subject.queued_requests() == 1);
        fixture.arrive(1, v1);
        THEN("it is refused at once as not run") {
            CHECK(fixture.has_refused(1, outcome_kind::not_run));
        }
    }
    GIVEN("only a leaving target of its version") {
        fixture.add("a1", v1);
        fixture.leave("a1", v1);
        fixture.arrive(1, v1);
        THEN("it is refused at once as not run") {
            CHECK(fixture.has_refused(1, outcome_kind::not_run));
        }
    }
    GIVEN("a target of its version") {
        fixture.add("a1", v1);
        fixture.arrive(1, v1);
        REQUIRE(fixture.sent_to() == "a1");
        const attempt_id first = fixture.sent_attempt();
        fixture.dispatch(attempt_write_started{first});
        WHEN("its first event arrives") {
            fixture.dispatch(attempt_progressed{first, tokens(1)});
            THEN("its version is named again") {
                CHECK(fixture.bound_to() == "v1");
            }
        }
        WHEN("it breaks off before an event") {
            fixture.fail(first);
            THEN("no target of another version retries it") {
                CHECK(fixture.sent_to() == "");
                CHECK(fixture.has_refused(1, outcome_kind::unknown));
            }
        }
        WHEN("it is late") {
            fixture.expire_timers_after(2s);
            THEN("no target of another version hedges it") {
                CHECK(fixture.latest.empty());
            }
        }
        WHEN("the target's record changes before its first event") {
            fixture.restart("a1", v2);
            fixture.dispatch(attempt_progressed{first, tokens(1)});
            THEN("the event is not passed on, and the stream stays one of its version") {
                CHECK(fixture.find<select_attempt>() == nullptr);
                CHECK(fixture.bound_to() == "");
                CHECK(fixture.has_refused(1, outcome_kind::unknown));
            }
        }
        WHEN("the target's record changes before the end of a stream without further events") {
            fixture.restart("a1", v2);
            fixture.dispatch(attempt_completed{first});
            THEN("it does not end as complete") {
                CHECK(fixture.find<complete_request>() == nullptr);
                CHECK(fixture.has_refused(1, outcome_kind::unknown));
            }
        }
    }
    GIVEN("an unlimited target of another version, and a limited one of its own") {
        fixture.add("a1", v1);
        permits::target_limit limit{target_id("a1"), incarnation_id(), {}, fixture.now};
        limit.rate = requests_per_second(1.0);
        fixture.permits.apply(limit);
        fixture.latest = fixture.subject.update_permits(target_id("a1"), fixture.now);
        fixture.arrive(1, v1);
        THEN("it waits for a permit, whatever room the other version has") {
            CHECK(fixture.sent_to() == "");
            const auto demands = fixture.permits.collect_demands(fixture.now);
            REQUIRE(demands.size() == 1);
            CHECK(demands[0].target == target_id("a1"));
            CHECK(demands[0].waiting == 1);
        }
    }
}

// A stream was joined with that of a target which had started again as another version.
SCENARIO("what a target sends after its record has changed is of unknown version") {
    versions_fixture fixture;
    fixture.add("a1", v1);
    GIVEN("a request that its target has not answered yet") {
        fixture.arrive(1);
        const attempt_id first = fixture.sent_attempt();
        fixture.dispatch(attempt_write_started{first});
        fixture.add("b1", v2);
        fixture.restart("a1", v2);
        WHEN("its first event arrives") {
            fixture.dispatch(attempt_progressed{first, tokens(1)});
            THEN("it is not passed on, and another target begins the stream") {
                CHECK(fixture.find<select_attempt>() == nullptr);
                CHECK(fixture.bound_to() == "");
                REQUIRE(fixture.find<cancel_attempt>() != nullptr);
                CHECK(fixture.find<cancel_attempt>()->attempt == first);
                CHECK(fixture.sent_to() == "b1");
            }
        }
    }
    GIVEN("a stream whose first event was passed on") {
        const attempt_id first = fixture.begin_stream(1);
        fixture.add("a2", v1);
        for (const auto& [name, software, incarnation] :
             {std::tuple("starts again as another version", v2, 2),
              std::tuple("starts again as the same version", v1, 2),
              std::tuple("states another version", v2, 1)}) {
            SUBCASE((std::string("When: the target ") + name).c_str()) {
                fixture.restart("a1", software, static_cast<std::uint64_t>(incarnation));
                CHECK(fixture.latest.empty());
                AND_WHEN("it sends another event") {
                    fixture.dispatch(attempt_progressed{first, tokens(1)});
                    THEN("the answer breaks off, and its version is unknown") {
                        CHECK(fixture.sent_to() == "");
                        CHECK(fixture.has_broken_off(1));
                        CHECK(fixture.find<cancel_attempt>()->attempt == first);
                    }
                }
                AND_WHEN("it ends the stream") {
                    fixture.dispatch(attempt_completed{first});
                    THEN("the answer breaks off, and its version is unknown") {
                        CHECK(fixture.has_broken_off(1));
                    }
                }
                // The record may arrive after events of the new process were passed on.
                AND_WHEN("its connection breaks") {
                    fixture.fail(first, attempt_failure::disconnected);
                    THEN("the answer breaks off, and its version is unknown") {
                        CHECK(fixture.sent_to() == "");
                        CHECK(fixture.has_broken_off(1));
                    }
                }
                AND_WHEN("it stalls") {
                    fixture.expire_timers_after(2s);
                    THEN("the answer breaks off, and its version is unknown") {
                        CHECK(fixture.sent_to() == "");
                        CHECK(fixture.has_broken_off(1));
                    }
                }
            }
        }
        WHEN("its connection breaks before it starts again as another version") {
            fixture.fail(first, attempt_failure::disconnected);
            REQUIRE(fixture.sent_to() == "a2");
            const attempt_id second = fixture.sent_attempt();
            fixture.restart("a1", v2);
            THEN("the other target of the old version goes on") {
                fixture.dispatch(attempt_progressed{second, tokens(1)});
                fixture.dispatch(attempt_completed{second});
                CHECK(fixture.find<complete_request>() != nullptr);
            }
        }
        WHEN("the target announces no more than that it is leaving, and its lease ends") {
            fixture.leave("a1", v1);
            fixture.remove("a1", v1);
            THEN("its events are passed on as before") {
                fixture.dispatch(attempt_progressed{first, tokens(1)});
                CHECK(fixture.latest.empty());
                fixture.dispatch(attempt_completed{first});
                CHECK(fixture.find<complete_request>() != nullptr);
            }
            AND_WHEN("it is back as another version") {
                fixture.announce("a1", v2, 2);
                fixture.dispatch(attempt_progressed{first, tokens(1)});
                THEN("the answer breaks off, and its version is unknown") {
                    CHECK(fixture.has_broken_off(1));
                }
            }
        }
        WHEN("it stalls, and the resuming target starts again before its first event") {
            fixture.expire_timers_after(2s);
            REQUIRE(fixture.sent_to() == "a2");
            const attempt_id second = fixture.sent_attempt();
            fixture.restart("a2", v2);
            fixture.dispatch(attempt_progressed{second, tokens(1)});
            THEN("only that attempt ends, and the stream goes on") {
                CHECK(fixture.find<select_attempt>() == nullptr);
                CHECK(fixture.find<refuse_request>() == nullptr);
                REQUIRE(fixture.find<cancel_attempt>() != nullptr);
                CHECK(fixture.find<cancel_attempt>()->attempt == second);
                fixture.dispatch(attempt_completed{first});
                CHECK(fixture.find<complete_request>() != nullptr);
            }
        }
    }
    GIVEN("a release that goes back while a stream runs") {
        const attempt_id first = fixture.begin_stream(1);
        fixture.add("a2", v1);
        fixture.restart("a2", v2, 2);
        WHEN("the stream breaks off after the other target has gone back to its version") {
            fixture.restart("a2", v1, 3);
            fixture.fail(first);
            THEN("that target goes on") {
                CHECK(fixture.sent_to() == "a2");
            }
        }
        WHEN("its own target has gone to the other version and back") {
            fixture.restart("a1", v2, 2);
            fixture.restart("a1", v1, 3);
            fixture.dispatch(attempt_progressed{first, tokens(1)});
            THEN("the answer breaks off, and its version is unknown") {
                CHECK(fixture.has_broken_off(1));
            }
        }
    }
}
