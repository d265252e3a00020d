#include "keeper/internal/crash_control.h"

#include "base/manual_clock.h"
#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::keeper;
using namespace std::chrono_literals;
using quarantine::suspect_state;

namespace {

constexpr request_fingerprint fatal(1, 2);

/// The crash control of a keeper under a manual clock, and the messages that it sends.
struct control_fixture {
    manual_clock time;
    task::event_loop loop;
    bool is_leading = true;
    std::vector<std::pair<instance_id, wire::message>> sent_to_one;
    std::vector<wire::message> sent_to_all;
    crash_control subject{this->make_parameters()};

    control_fixture() { this->time.advance(10s); }

    crash_control::parameters make_parameters() {
        crash_control::parameters arguments;
        arguments.time = &this->time;
        arguments.is_leading = [this] { return this->is_leading; };
        arguments.send_to_instance = [this](const instance_id& to, const wire::message& message) {
            this->sent_to_one.emplace_back(to, message);
        };
        arguments.send_to_gateways_and_stores = [this](const wire::message& message) {
            this->sent_to_all.push_back(message);
        };
        return arguments;
    }

    /// A sender reports that a target has ended under the request.
    void report_crash(const std::string& sender, const std::string& target) {
        const quarantine::crash_report report{
            fatal,
            {target_id(target), incarnation_id(1), quarantine::crash_status::proven, false, 10ms}};
        CHECK(this->subject.handle(instance_id(sender), report));
    }

    [[nodiscard]] suspect_state told_state() const {
        suspect_state state = suspect_state::cleared;
        for (const wire::message& message : this->sent_to_all) {
            if (const auto* update = std::get_if<quarantine::suspect_update>(&message)) {
                state = update->state;
            }
        }
        return state;
    }
};

} // namespace

SCENARIO("the leading keeper tells all senders what any of them has seen") {
    control_fixture fixture;
    GIVEN("a message that is none of a sender's") {
        THEN("it is left to others") {
            CHECK_FALSE(fixture.subject.handle(instance_id("g"), wire::keepalive{}));
        }
    }
    GIVEN("targets that ended under a request of different senders") {
        fixture.report_crash("g1", "t1");
        // A single crash concerns its sender alone.
        CHECK(fixture.sent_to_all.empty());
        fixture.report_crash("g2", "t2");
        CHECK(fixture.told_state() == suspect_state::restricted);
        fixture.report_crash("g3", "t3");
        CHECK(fixture.told_state() >= suspect_state::unconfirmed);
        WHEN("an instance connects") {
            THEN("it is told, too") {
                REQUIRE(fixture.subject.initial_messages().size() == 1);
                const wire::message message = fixture.subject.initial_messages()[0];
                CHECK(std::get<quarantine::suspect_update>(message).crashes == 3);
            }
        }
        WHEN("one of them gets a whole response to the request") {
            CHECK(fixture.subject.handle(instance_id("g1"),
                                         quarantine::completion_report{fatal, 0ms}));
            THEN("all are told that it is cleared") {
                CHECK(fixture.told_state() == suspect_state::cleared);
            }
        }
    }
    GIVEN("a keeper that does not lead") {
        fixture.is_leading = false;
        fixture.report_crash("g1", "t1");
        fixture.report_crash("g2", "t2");
        THEN("it tells nobody") {
            CHECK(fixture.sent_to_all.empty());
            CHECK(fixture.subject.initial_messages().empty());
        }
        WHEN("it takes the lead") {
            fixture.is_leading = true;
            fixture.subject.leadership_changed(true);
            THEN("it tells all what it heard before") {
                CHECK(fixture.told_state() == suspect_state::restricted);
            }
        }
    }
}
