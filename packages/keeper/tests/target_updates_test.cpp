#include "keeper/internal/target_updates.h"

#include "base/manual_clock.h"
#include "wire/codec.h"

#include <doctest/doctest.h>

#include <chrono>
#include <span>
#include <string>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::keeper;
using namespace std::chrono_literals;

namespace {

membership::target_record make_record(const std::string& id, std::uint64_t sequence = 1) {
    membership::target_record record;
    record.id = target_id(id);
    record.backend = backend_name("engines");
    record.incarnation = incarnation_id(7);
    record.sequence = sequence;
    return record;
}

membership::target_record decode(const wire::encoded_message& message) {
    const auto decoded = value_or_error([&] { return wire::decode(message.bytes()); });
    REQUIRE(std::holds_alternative<wire::message>(decoded));
    return std::get<wire::target_update>(std::get<wire::message>(decoded)).record;
}

/// The updates of a keeper, with what was sent in each write.
class recorded_updates {
public:
    recorded_updates()
        : updates({&this->time,
                   [this](std::span<const wire::encoded_message> sent) {
                       this->to_keepers.emplace_back(sent.begin(), sent.end());
                   },
                   [this](std::span<const wire::encoded_message> sent) {
                       this->to_others.emplace_back(sent.begin(), sent.end());
                   },
                   [this](time_point at) { this->wakeups.push_back(at); }}) {
        this->time.advance(1h);
    }

    manual_clock time;
    std::vector<std::vector<wire::encoded_message>> to_keepers;
    std::vector<std::vector<wire::encoded_message>> to_others;
    std::vector<time_point> wakeups;
    target_updates updates;
};

} // namespace

// Guards against keepers that spend all their processor time on one write for each record and
// instance while a fleet of thousands of targets starts.
SCENARIO("updates of a burst are sent together") {
    GIVEN("a keeper that has sent nothing for a while") {
        recorded_updates keeper;
        WHEN("one target changes") {
            keeper.updates.send_to_all(make_record("a"));
            THEN("its record is sent at once") {
                REQUIRE(keeper.to_others.size() == 1);
                REQUIRE(keeper.to_keepers.size() == 1);
                CHECK(decode(keeper.to_others[0].at(0)) == make_record("a"));
                CHECK(decode(keeper.to_keepers[0].at(0)) == make_record("a"));
                CHECK(keeper.wakeups.empty());
            }
        }
        WHEN("3,000 targets announce themselves within a second") {
            for (int i = 0; i < 3000; ++i) {
                keeper.updates.send_to_all(make_record("t" + std::to_string(i)));
                keeper.time.advance(333us);
                if (!keeper.wakeups.empty() && keeper.wakeups.back() <= keeper.time.now()) {
                    keeper.wakeups.clear();
                    keeper.updates.flush();
                }
            }
            keeper.updates.flush();
            THEN("all are sent in order, with a third of the writes") {
                CHECK(keeper.to_others.size() <= 1000);
                int next = 0;
                for (const auto& write : keeper.to_others) {
                    for (const auto& update : write) {
                        CHECK(decode(update).id == target_id("t" + std::to_string(next++)));
                    }
                }
                CHECK(next == 3000);
            }
        }
        WHEN("another keeper's update is passed on") {
            keeper.updates.send_to_gateways_and_stores(make_record("a"));
            THEN("it is not sent to the keepers again") {
                CHECK(keeper.to_others.size() == 1);
                CHECK(keeper.to_keepers.empty());
            }
        }
        WHEN("a change follows those that are sent at once, and then another message") {
            for (std::size_t i = 0; i < target_updates::max_single_updates; ++i) {
                keeper.updates.send_to_all(make_record("a", i + 1));
                CHECK(keeper.to_others.size() == i + 1);
            }
            keeper.updates.send_to_all(make_record("b", 2));
            CHECK(keeper.to_others.size() == target_updates::max_single_updates);
            REQUIRE(keeper.wakeups.size() == 1);
            CHECK(keeper.wakeups[0] == keeper.time.now() + target_updates::collect_time);
            keeper.updates.flush();
            THEN("the change is sent before that message, and nothing is left to send") {
                REQUIRE(keeper.to_others.size() == target_updates::max_single_updates + 1);
                CHECK(decode(keeper.to_others.back().at(0)) == make_record("b", 2));
                keeper.updates.flush();
                CHECK(keeper.to_others.size() == target_updates::max_single_updates + 1);
                CHECK(keeper.to_keepers.size() == target_updates::max_single_updates + 1);
            }
        }
    }
}

// Guards against an instance that connects and receives a record that has changed since.
SCENARIO("an instance that connects receives the present records") {
    recorded_updates keeper;
    std::vector<membership::target_record> records = {make_record("a"), make_record("b")};
    const auto first = keeper.updates.encode_all(records);
    REQUIRE(first.size() == 2);
    WHEN("one record has changed, one was removed and one was added") {
        records = {make_record("a", 2), make_record("c")};
        const auto second = keeper.updates.encode_all(records);
        THEN("the present ones are returned") {
            REQUIRE(second.size() == 2);
            CHECK(decode(second[0]) == records[0]);
            CHECK(decode(second[1]) == records[1]);
        }
    }
    WHEN("nothing has changed") {
        const auto second = keeper.updates.encode_all(records);
        THEN("the encoded updates are used again") {
            REQUIRE(second.size() == 2);
            CHECK(&second[0].bytes() == &first[0].bytes());
            CHECK(&second[1].bytes() == &first[1].bytes());
        }
    }
}
