#include "requests/dispatcher.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::requests;
using namespace std::chrono_literals;

namespace {

const location local_location{failure_domain_id("got-a1"), region_id("got-a")};
const backend_name model("stylist-lm");

/// A dispatcher with targets, and the newest actions by kind.
struct story {
    dispatcher subject{local_location, {}, 1};
    time_point now{1s};
    actions latest;

    story() {
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

    void notify(const message& incoming) {
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
        profile.outlives_caller = !repeatable;
        this->notify(request_arrived{profile});
    }

    template <typename Action>
    const Action* find() const {
        for (const action& done : this->latest) {
            if (const auto* wanted = std::get_if<Action>(&done)) {
                return wanted;
            }
        }
        return nullptr;
    }

    attempt_id sent() const {
        const auto* send = this->find<send_attempt>();
        REQUIRE(send != nullptr);
        return send->attempt;
    }

    outcome_kind refused() const {
        const auto* refusal = this->find<refuse_request>();
        REQUIRE(refusal != nullptr);
        return refusal->outcome;
    }
};

} // namespace

SCENARIO("a request gets one whole answer") {
    story plot;
    plot.add_target("a");
    GIVEN("a request at its target") {
        plot.arrive(1, true);
        const attempt_id first = plot.sent();
        plot.notify(attempt_handed{first});
        WHEN("output comes and ends") {
            plot.notify(attempt_progressed{first, tokens(1)});
            CHECK(plot.find<adopt_attempt>() != nullptr);
            plot.notify(attempt_answered{first});
            THEN("the request is complete and forgotten") {
                CHECK(plot.find<complete_request>() != nullptr);
                CHECK(plot.subject.open_requests() == 0);
            }
        }
        WHEN("the caller leaves") {
            plot.notify(caller_disconnected{request_id(1)});
            THEN("the work is cancelled at the target") {
                CHECK(plot.find<cancel_attempt>() != nullptr);
                CHECK(plot.subject.open_requests() == 0);
            }
        }
        WHEN("a second one comes, and there is no room") {
            plot.arrive(2, true);
            CHECK(plot.latest.empty());
            THEN("it waits for the first to end") {
                plot.notify(attempt_answered{first});
                CHECK(plot.find<send_attempt>()->request == request_id(2));
            }
            THEN("it is refused as not run when its deadline passes") {
                plot.now += 5s;
                plot.notify(attempt_progressed{first, tokens(1)});
                plot.now += 5s;
                plot.notify(timer_expired{});
                CHECK(plot.subject.open_requests() == 0);
                bool was_refused = false;
                for (const action& done : plot.latest) {
                    const auto* refusal = std::get_if<refuse_request>(&done);
                    if (refusal != nullptr && refusal->request == request_id(2)) {
                        was_refused = refusal->outcome == outcome_kind::not_run;
                    }
                }
                CHECK(was_refused);
            }
        }
    }
}

SCENARIO("a request that may not be repeated runs at most once") {
    story plot;
    plot.add_target("a");
    plot.add_target("b");
    plot.arrive(1, false);
    const attempt_id first = plot.sent();
    GIVEN("its target could not be reached") {
        plot.notify(attempt_failed{first, attempt_failure::unreachable});
        THEN("another target is tried, since nothing was handed over") {
            CHECK(plot.find<send_attempt>()->cause == send_cause::retry);
        }
        AND_WHEN("that one can't be reached either") {
            plot.notify(attempt_failed{plot.sent(), attempt_failure::unreachable});
            THEN("not run is the truth") {
                CHECK(plot.refused() == outcome_kind::not_run);
            }
        }
    }
    GIVEN("it was handed over") {
        plot.notify(attempt_handed{first});
        WHEN("the connection breaks") {
            plot.notify(attempt_failed{first, attempt_failure::broken});
            THEN("nothing is sent again, and the outcome is unknown") {
                CHECK(plot.find<send_attempt>() == nullptr);
                CHECK(plot.refused() == outcome_kind::unknown);
            }
        }
        WHEN("the answer is long in coming") {
            plot.now += 9s;
            plot.notify(timer_expired{});
            THEN("there is no hedge") {
                CHECK(plot.latest.empty());
            }
        }
        WHEN("its deadline passes") {
            plot.now += 10s;
            plot.notify(timer_expired{});
            THEN("the caller is told unknown, and the run is not cut") {
                CHECK(plot.refused() == outcome_kind::unknown);
                CHECK(plot.find<cancel_attempt>() == nullptr);
            }
            THEN("a late answer still completes it, for whoever asks again") {
                plot.notify(attempt_answered{first});
                CHECK(plot.find<complete_request>() != nullptr);
            }
        }
        WHEN("the caller leaves") {
            plot.notify(caller_disconnected{request_id(1)});
            THEN("the run is not cut") {
                CHECK(plot.latest.empty());
                CHECK(plot.subject.open_requests() == 1);
            }
        }
    }
}

SCENARIO("a slow or broken target is made up for") {
    story plot;
    plot.add_target("a");
    plot.add_target("b");
    plot.arrive(1, true);
    const attempt_id first = plot.sent();
    plot.notify(attempt_handed{first});
    GIVEN("no first output in time") {
        plot.now += 1s;
        plot.notify(timer_expired{});
        const attempt_id second = plot.sent();
        CHECK(plot.find<send_attempt>()->cause == send_cause::hedge);
        WHEN("the second target is first") {
            plot.notify(attempt_progressed{second, tokens(1)});
            THEN("it is adopted and the first cancelled") {
                CHECK(plot.find<adopt_attempt>()->attempt == second);
                CHECK(plot.find<cancel_attempt>()->attempt == first);
            }
        }
    }
    GIVEN("a stream that breaks after three tokens") {
        plot.notify(attempt_progressed{first, tokens(3)});
        plot.notify(attempt_failed{first, attempt_failure::broken});
        THEN("the other target goes on after the third") {
            const auto* resumed = plot.find<send_attempt>();
            REQUIRE(resumed != nullptr);
            CHECK(resumed->cause == send_cause::resume);
            CHECK(resumed->resume_after == tokens(3));
        }
    }
    GIVEN("a stream that falls silent after three tokens") {
        plot.notify(attempt_progressed{first, tokens(3)});
        plot.now += 2s;
        plot.notify(timer_expired{});
        const attempt_id second = plot.sent();
        CHECK(plot.find<send_attempt>()->resume_after == tokens(3));
        WHEN("it revives before the other one speaks") {
            plot.notify(attempt_progressed{first, tokens(1)});
            plot.notify(attempt_progressed{second, tokens(1)});
            THEN("the other one is a token behind, and is dropped") {
                CHECK(plot.find<adopt_attempt>() == nullptr);
                CHECK(plot.find<cancel_attempt>()->attempt == second);
            }
        }
        WHEN("it revives and ends before the other one speaks") {
            plot.notify(attempt_progressed{first, tokens(1)});
            plot.notify(attempt_answered{first});
            THEN("the other one is cancelled, and what it still says is ignored") {
                REQUIRE(plot.find<cancel_attempt>() != nullptr);
                CHECK(plot.find<cancel_attempt>()->attempt == second);
                plot.notify(attempt_progressed{second, tokens(1)});
                CHECK(plot.latest.empty());
            }
        }
    }
}

SCENARIO("overload is refused early and truthfully") {
    story plot;
    GIVEN("no target") {
        plot.arrive(1, true);
        CHECK(plot.refused() == outcome_kind::not_run);
        CHECK(plot.find<refuse_request>()->retry_after > duration{});
    }
    GIVEN("a full queue") {
        plot.add_target("a");
        for (std::uint64_t id = 1; id <= 3; ++id) {
            plot.arrive(id, true);
        }
        plot.arrive(4, true);
        CHECK(plot.find<refuse_request>()->reason == refusal_reason::queue_full);
        CHECK(plot.refused() == outcome_kind::not_run);
    }
    GIVEN("short work that comes after long work") {
        plot.add_target("a");
        plot.arrive(1, true, "draft");
        const attempt_id running = plot.sent();
        plot.arrive(2, true, "draft");
        plot.arrive(3, true, "query");
        THEN("it goes first when room comes") {
            plot.notify(attempt_answered{running});
            CHECK(plot.find<send_attempt>()->request == request_id(3));
        }
    }
    GIVEN("an instance that stops") {
        plot.add_target("a");
        plot.subject.begin_stop();
        plot.arrive(1, true);
        CHECK(plot.find<refuse_request>()->reason == refusal_reason::stopping);
    }
}
