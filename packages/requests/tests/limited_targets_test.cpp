#include "permits/permit_account.h"
#include "requests/dispatcher.h"

#include <doctest/doctest.h>

#include <optional>
#include <set>

using namespace kingcupcart;
using namespace kingcupcart::requests;
using namespace std::chrono_literals;

namespace {

const location local_location{failure_domain_id("got-a1"), region_id("got-a")};
const location remote_location{failure_domain_id("nor-a1"), region_id("nor-a")};
const backend_name service("provbok");
constexpr duration objective = 200ms;

/// A dispatcher before targets of which some name a limit of one request a second.
struct limited_fixture {
    permits::permit_account permits{{}, 1};
    dispatcher subject{local_location, {}, 1, &this->permits};
    time_point now{100s};
    actions latest;

    limited_fixture() {
        subject.set_classes({{work_class_name("query"), urgency::short_work, 3s, 100}});
    }

    void add_target(const char* id, const location& place = local_location) {
        membership::directory_change change;
        change.event = membership::directory_event::added;
        change.record.id = target_id(id);
        change.record.backend = service;
        change.record.place = place;
        change.record.slots = 4;
        this->latest = this->subject.update_target(change, this->now);
    }
    void remove_target(const char* id) {
        membership::directory_change change;
        change.event = membership::directory_event::removed;
        change.record.id = target_id(id);
        change.record.backend = service;
        this->latest = this->subject.update_target(change, this->now);
    }
    void limit(const char* id, std::optional<double> rate = 1.0) {
        permits::target_limit limit{target_id(id), incarnation_id(), {}, this->now};
        if (rate) {
            limit.rate = requests_per_second(*rate);
        }
        this->permits.apply(limit);
        this->latest = this->subject.update_permits(target_id(id), this->now);
    }
    /// The issuer answers the latest demand.
    void grant(const char* id, std::uint32_t count, duration expected_wait) {
        for (const permits::permit_demand& demand : this->permits.collect_demands(this->now)) {
            if (demand.target == target_id(id)) {
                this->demanded = demand;
            }
        }
        this->permits.handle(
            {target_id(id), incarnation_id(), this->demanded.number, count, expected_wait, 9},
            this->now);
        this->latest = this->subject.update_permits(target_id(id), this->now);
    }
    void arrive(std::uint64_t id) {
        request_profile profile;
        profile.id = request_id(id);
        profile.caller = caller_id("counter");
        profile.backend = service;
        profile.work_class = work_class_name("query");
        profile.repeatable = true;
        profile.objective = objective;
        this->latest = this->subject.handle(request_arrived{profile}, this->now);
    }
    void expire_timers() { this->latest = this->subject.handle(timer_expired{}, this->now); }

    template <typename Action>
    const Action* find() const {
        for (const action& returned : this->latest) {
            if (const auto* match = std::get_if<Action>(&returned)) {
                return match;
            }
        }
        return nullptr;
    }

    permits::permit_demand demanded;
};

} // namespace

// Requests waited for a limited target until their deadline, or went there without regard to it.
SCENARIO("a target without a permit is no candidate") {
    limited_fixture fixture;
    fixture.add_target("limited");
    fixture.limit("limited");

    GIVEN("an unlimited target, far away") {
        fixture.add_target("free", remote_location);
        WHEN("requests arrive") {
            THEN("all are sent there, and a permit for the near one is asked for") {
                for (std::uint64_t i = 1; i <= 3; ++i) {
                    fixture.arrive(i);
                    REQUIRE(fixture.find<send_attempt>() != nullptr);
                    CHECK(fixture.find<send_attempt>()->target == target_id("free"));
                }
                const auto demands = fixture.permits.collect_demands(fixture.now);
                REQUIRE(demands.size() == 1);
                CHECK(demands[0].waiting == 0);
                CHECK(demands[0].background == 1);
            }
        }
        WHEN("a request is overdue") {
            fixture.arrive(1);
            fixture.grant("limited", 1, 0s);
            fixture.now += 2s;
            fixture.expire_timers();
            THEN("its hedge uses no permit") {
                CHECK(fixture.find<send_attempt>() == nullptr);
            }
        }
        WHEN("it is full, and then gone") {
            for (std::uint64_t i = 1; i <= 5; ++i) {
                fixture.arrive(i);
            }
            REQUIRE(fixture.subject.queued_requests() == 1);
            fixture.remove_target("free");
            THEN("the queued request waits for a permit of the other") {
                const auto demands = fixture.permits.collect_demands(fixture.now);
                REQUIRE(demands.size() == 1);
                CHECK(demands[0].waiting == 1);
                fixture.demanded = demands[0];
                fixture.grant("limited", 1, 0s);
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->request == request_id(5));
            }
        }
    }

    GIVEN("no other target, and a request") {
        fixture.arrive(1);
        REQUIRE(fixture.latest.empty());
        WHEN("its permit arrives") {
            fixture.now += 40ms;
            fixture.grant("limited", 1, 1s);
            THEN("it is sent, and counted") {
                REQUIRE(fixture.find<send_attempt>() != nullptr);
                CHECK(fixture.find<send_attempt>()->cause == send_cause::first);
                CHECK(fixture.permits.sent_recently(target_id("limited"), fixture.now) == 1);
                CHECK_FALSE(fixture.permits.may_send(target_id("limited"), fixture.now));
            }
        }
        WHEN("the issuer tells a wait beyond its objective") {
            fixture.now += 40ms;
            fixture.grant("limited", 0, 2s);
            THEN("it is refused at once as not run, and told when to return") {
                const auto* refusal = fixture.find<refuse_request>();
                REQUIRE(refusal != nullptr);
                CHECK(refusal->outcome == outcome_kind::not_run);
                CHECK(refusal->reason == refusal_reason::rate_limited);
                CHECK(refusal->limited_target == target_id("limited"));
                CHECK(refusal->retry_after >= 2s);
                CHECK(refusal->retry_after <= 4s);
            }
            THEN("so is the next one, without another question") {
                fixture.arrive(2);
                REQUIRE(fixture.find<refuse_request>() != nullptr);
                CHECK(fixture.find<refuse_request>()->outcome == outcome_kind::not_run);
                CHECK(fixture.subject.open_requests() == 0);
            }
        }
        WHEN("no permit arrives within its objective") {
            fixture.now += objective;
            fixture.expire_timers();
            THEN("it is refused as not run, long before its deadline") {
                REQUIRE(fixture.find<refuse_request>() != nullptr);
                CHECK(fixture.find<refuse_request>()->reason == refusal_reason::rate_limited);
                CHECK(fixture.find<refuse_request>()->outcome == outcome_kind::not_run);
            }
        }
        WHEN("the limit ends") {
            fixture.now += 10ms;
            fixture.limit("limited", std::nullopt);
            THEN("it is sent") {
                CHECK(fixture.find<send_attempt>() != nullptr);
            }
        }
        WHEN("its caller leaves") {
            fixture.latest =
                fixture.subject.handle(caller_disconnected{request_id(1)}, fixture.now);
            THEN("no permit is asked for any more") {
                CHECK(fixture.permits.collect_demands(fixture.now).empty());
            }
        }
    }
}

// A target that was full when its limit began left the queued requests without a permit.
SCENARIO("requests that are queued when a limit begins wait for permits") {
    limited_fixture fixture;
    fixture.add_target("t");
    for (std::uint64_t i = 1; i <= 6; ++i) {
        fixture.arrive(i);
    }
    REQUIRE(fixture.subject.queued_requests() == 2);
    GIVEN("a limit of the only target") {
        fixture.limit("t");
        THEN("permits are asked for") {
            const auto demands = fixture.permits.collect_demands(fixture.now);
            REQUIRE(demands.size() == 1);
            CHECK(demands[0].waiting == 2);
        }
        THEN("what gets none within its objective is refused") {
            fixture.now += objective;
            fixture.expire_timers();
            CHECK(fixture.subject.queued_requests() == 0);
        }
    }
}
