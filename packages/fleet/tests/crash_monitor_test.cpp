#include "base/manual_clock.h"
#include "fleet/crash_monitor.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace std::chrono_literals;
using quarantine::crash_status;
using quarantine::suspect_state;

namespace {

constexpr request_fingerprint fatal(1, 2);
const instance_id keeper("k");

membership::target_record make_target(const std::string& id, std::uint64_t incarnation) {
    membership::target_record record;
    record.id = target_id(id);
    record.incarnation = incarnation_id(incarnation);
    record.address = endpoint{"127.0.0.9", 80};
    return record;
}

/// An instance's crash monitor under a manual clock, and the messages that it sends to keepers.
struct monitor_fixture {
    manual_clock time;
    std::vector<wire::message> sent;
    std::vector<std::pair<instance_id, wire::message>> sent_to_one;
    std::vector<request_fingerprint> changes;
    membership::directory targets{location{}};
    fleet::crash_monitor subject{
        this->time,
        {[this](const wire::message& message) { this->sent.push_back(message); },
         [this](const instance_id& to, const wire::message& message) {
             this->sent_to_one.emplace_back(to, message);
         },
         [this](const request_fingerprint& fingerprint) { this->changes.push_back(fingerprint); }}};

    monitor_fixture() { this->time.advance(10s); }

    void announce(const membership::target_record& record) {
        this->targets.apply_update(record, 1h, this->time.now());
        this->subject.target_changed(record, this->targets);
    }

    /// The connection to the target breaks under the request.
    void lose_connection(const membership::target_record& target) {
        quarantine::crash_account& account = this->subject.account();
        account.begin(attempt_id(1), fatal, target.id, target.incarnation, this->time.now());
        this->time.advance(90ms);
        account.end(attempt_id(1), quarantine::attempt_end::disconnected, this->time.now());
        this->subject.update();
    }

    [[nodiscard]] std::vector<crash_status> reported() const {
        std::vector<crash_status> statuses;
        for (const wire::message& message : this->sent) {
            if (const auto* report = std::get_if<quarantine::crash_report>(&message)) {
                CHECK(report->fingerprint == fatal);
                statuses.push_back(report->crash.status);
            }
        }
        return statuses;
    }
};

} // namespace

SCENARIO("the keepers are told of targets that may have ended under a request") {
    monitor_fixture fixture;
    const membership::target_record target = make_target("t", 1);
    fixture.announce(target);

    GIVEN("an instance whose requests were answered") {
        quarantine::crash_account& account = fixture.subject.account();
        account.begin(attempt_id(1), fatal, target.id, target.incarnation, fixture.time.now());
        account.end(attempt_id(1), quarantine::attempt_end::completed, fixture.time.now());
        fixture.subject.update();
        THEN("no message is sent") {
            CHECK(fixture.sent.empty());
        }
    }
    GIVEN("a connection that broke under a request") {
        fixture.lose_connection(target);
        REQUIRE(fixture.reported() == std::vector{crash_status::suspected});
        const std::vector<quarantine::checked_target> unproven =
            fixture.subject.account().unproven_targets();
        REQUIRE(unproven.size() == 1);
        WHEN("the target's address refuses connections") {
            fixture.subject.record_check(unproven[0], true);
            THEN("the crash is reported as proven") {
                CHECK(fixture.reported().back() == crash_status::proven);
                CHECK(fixture.subject.account().unproven_targets().empty());
            }
        }
        WHEN("the target accepts a connection") {
            fixture.subject.record_check(unproven[0], false);
            THEN("the suspicion is withdrawn") {
                CHECK(fixture.reported().back() == crash_status::withdrawn);
            }
        }
        WHEN("the target is back as another incarnation") {
            fixture.announce(make_target("t", 2));
            THEN("the crash is reported as proven") {
                CHECK(fixture.reported().back() == crash_status::proven);
            }
        }
        WHEN("another target announces itself at its address") {
            fixture.announce(make_target("u", 2));
            THEN("the crash is reported as proven") {
                CHECK(fixture.reported().back() == crash_status::proven);
            }
        }
        WHEN("another target announces itself elsewhere") {
            membership::target_record other = make_target("u", 2);
            other.address.port = 81;
            fixture.announce(other);
            THEN("nothing is known of the crash") {
                CHECK(fixture.reported().size() == 1);
            }
        }
        WHEN("a keeper connects that has restarted") {
            fixture.subject.keeper_connected(keeper);
            THEN("it is told, too") {
                REQUIRE_FALSE(fixture.sent_to_one.empty());
                CHECK(fixture.sent_to_one[0].first == keeper);
            }
        }
    }
}

SCENARIO("an instance refuses what the keepers have quarantined") {
    monitor_fixture fixture;
    GIVEN("a request that it never sent") {
        REQUIRE(fixture.subject.account().decide(fatal, fixture.time.now()).permission ==
                quarantine::send_permission::free);
        fixture.subject.account().add_waiting(fatal);
        WHEN("the leading keeper tells of three crashes") {
            quarantine::suspect_update update;
            update.fingerprint = fatal;
            update.state = suspect_state::quarantined;
            update.crashes = 3;
            for (std::uint64_t i = 1; i <= 3; ++i) {
                update.latest.push_back({target_id("t" + std::to_string(i)), incarnation_id(i),
                                         crash_status::proven, false, 1s});
            }
            update.next_trial_in = 30s;
            fixture.subject.handle(update, keeper);
            THEN("it is refused, and those who wait with it are told") {
                CHECK(fixture.subject.account().decide(fatal, fixture.time.now()).permission ==
                      quarantine::send_permission::refused);
                CHECK(std::find(fixture.changes.begin(), fixture.changes.end(), fatal) !=
                      fixture.changes.end());
            }
            AND_WHEN("the leading keeper clears it") {
                update.state = suspect_state::cleared;
                update.crashes = 0;
                update.latest.clear();
                fixture.subject.handle(update, keeper);
                THEN("it is sent as any other") {
                    CHECK(fixture.subject.account().decide(fatal, fixture.time.now()).permission ==
                          quarantine::send_permission::free);
                }
            }
        }
    }
}
