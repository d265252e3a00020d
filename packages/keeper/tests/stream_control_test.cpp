#include "keeper/internal/stream_control.h"

#include "base/manual_clock.h"
#include "fleet/stream_records.h"
#include "streams/record_limits.h"
#include "wire/codec.h"

#include <doctest/doctest.h>
#include <glib.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::keeper;
using namespace std::chrono_literals;
using streams::lookup_outcome;
using streams::stream_id;

namespace {

const backend_name chat("chat");
const software_version v1("v1");
const software_version v2("v2");
/// The timeout of the streams' route.
constexpr duration timeout = 15s;

/// The stream records of gateways, and the keepers that hold them, with links that deliver at once
/// under a manual clock.
class linked_fleet {
public:
    linked_fleet(std::size_t gateways, std::size_t keepers) {
        this->time.advance(1s);
        for (std::size_t i = 0; i < keepers; ++i) {
            this->start_keeper(i);
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            this->start_gateway(i);
        }
    }

    /// Starts the gateway, or starts it again without its records.
    void start_gateway(std::size_t index) {
        const instance_id id = gateway_id(index);
        this->gateways[id] = std::make_unique<fleet::stream_records>(
            this->time, domain_of(index),
            [this, id](const instance_id& keeper, const wire::message& message) {
                return this->send(id, keeper, message);
            });
        for (std::size_t i = 0; i < this->keeper_count; ++i) {
            this->connect(index, i);
        }
    }
    /// Starts the keeper, or starts it again without its records; no gateway is linked to it.
    void start_keeper(std::size_t index) {
        this->keeper_count = std::max(this->keeper_count, index + 1);
        this->keepers[keeper_id(index)] =
            std::make_unique<stream_control>(stream_control::parameters{
                &this->time,
                [this, index](const instance_id& gateway, const wire::message& message) {
                    this->responses.push_back({gateway, keeper_id(index),
                                               std::get<wire::stream_lookup_response>(message)});
                }});
        for (auto& [id, gateway] : this->gateways) {
            gateway->keeper_lost(keeper_id(index));
        }
    }
    /// Opens the link between both, or opens it anew.
    void connect(std::size_t gateway, std::size_t keeper) {
        this->cut.erase({gateway_id(gateway), keeper_id(keeper)});
        this->gateway(gateway).keeper_connected(keeper_id(keeper), {domain_of(keeper), {}});
        this->run_timers();
    }
    /// Messages between both are lost without notice.
    void cut_link(std::size_t gateway, std::size_t keeper) {
        this->cut.insert({gateway_id(gateway), keeper_id(keeper)});
    }
    fleet::stream_records& gateway(std::size_t index) {
        return *this->gateways.at(gateway_id(index));
    }

    void begin(std::size_t gateway, const std::string& stream,
               const software_version& software = v1) {
        this->gateway(gateway).record(stream_id(stream), chat, software, timeout);
    }
    /// The result of a lookup at the gateway; empty until it has ended.
    std::optional<streams::lookup_result> look_up(std::size_t gateway, const std::string& stream) {
        const auto result = std::make_shared<std::optional<streams::lookup_result>>();
        this->gateway(gateway).look_up(stream_id(stream), 5s,
                                       [result](const auto& found) { *result = found; });
        for (int i = 0; i < 60 && !*result; ++i) {
            this->deliver();
            this->time.advance(10ms);
            this->run_timers();
        }
        return *result;
    }
    void deliver() {
        while (!this->responses.empty()) {
            const response answered = this->responses.front();
            this->responses.pop_front();
            this->gateways.at(answered.gateway)->handle(answered.message, answered.keeper);
        }
    }
    void run_timers() {
        for (int i = 0; i < 100 && g_main_context_iteration(nullptr, FALSE) != FALSE; ++i) {
        }
    }

    manual_clock time;
    /// By gateway and by keeper.
    std::map<instance_id, std::size_t> bytes;
    std::size_t messages = 0;

private:
    struct response {
        instance_id gateway;
        instance_id keeper;
        wire::stream_lookup_response message;
    };

    static instance_id gateway_id(std::size_t index) {
        return instance_id("gateway" + std::to_string(index));
    }
    static instance_id keeper_id(std::size_t index) {
        return instance_id("keeper" + std::to_string(index));
    }
    static failure_domain_id domain_of(std::size_t index) {
        return failure_domain_id(std::to_string(index % 3));
    }

    bool send(const instance_id& from, const instance_id& keeper, const wire::message& message) {
        const std::size_t size = wire::encode(message).size();
        this->bytes[from] += size;
        this->bytes[keeper] += size;
        ++this->messages;
        if (!this->cut.contains({from, keeper})) {
            CHECK(this->keepers.at(keeper)->handle(from, message));
        }
        return true;
    }

    std::size_t keeper_count = 0;
    std::map<instance_id, std::unique_ptr<stream_control>> keepers;
    std::set<std::pair<instance_id, instance_id>> cut;
    std::deque<response> responses;
    std::map<instance_id, std::unique_ptr<fleet::stream_records>> gateways;
};

} // namespace

SCENARIO("a stream that one gateway has begun is known to all") {
    linked_fleet fleet(3, 3);
    const auto outcome = [&](std::size_t gateway, const std::string& stream) {
        const auto result = fleet.look_up(gateway, stream);
        REQUIRE(result);
        return result->outcome;
    };
    const auto count_found = [&](std::size_t gateway, int streams) {
        int found = 0;
        for (int i = 0; i < streams; ++i) {
            const auto result = fleet.look_up(gateway, std::to_string(i));
            found += result && result->outcome == lookup_outcome::found ? 1 : 0;
        }
        return found;
    };

    GIVEN("streams of two versions that the first gateway has begun") {
        constexpr int count = 50;
        for (int i = 0; i < count; ++i) {
            fleet.begin(0, std::to_string(i), i % 2 == 0 ? v1 : v2);
        }
        THEN("each gateway finds the service and the version of each") {
            fleet.time.advance(1s);
            for (const std::size_t gateway : {0, 1, 2}) {
                for (int i = 0; i < count; ++i) {
                    const auto result = fleet.look_up(gateway, std::to_string(i));
                    REQUIRE(result);
                    REQUIRE(result->record);
                    CHECK(result->outcome == lookup_outcome::found);
                    CHECK(result->record->backend == chat);
                    CHECK(result->record->software == (i % 2 == 0 ? v1 : v2));
                    CHECK(result->record->age >= 1s);
                }
            }
        }
        THEN("a stream that nobody has begun is not known") {
            CHECK(outcome(1, "other") == lookup_outcome::stream_unknown);
        }
        WHEN("the gateway that began them is gone") {
            fleet.start_gateway(0);
            THEN("the others and its successor find them") {
                CHECK(count_found(1, count) == count);
                CHECK(count_found(0, count) == count);
            }
        }
        WHEN("a keeper restarts and the gateway that began them is gone before it has returned") {
            fleet.start_keeper(1);
            fleet.start_gateway(0);
            fleet.connect(1, 1);
            fleet.connect(2, 1);
            THEN("the other holders have them") {
                CHECK(count_found(1, count) == count);
            }
        }
        WHEN("all keepers restart and their links open anew") {
            for (std::size_t keeper : {0, 1, 2}) {
                fleet.start_keeper(keeper);
            }
            for (std::size_t gateway : {0, 1, 2}) {
                for (std::size_t keeper : {0, 1, 2}) {
                    fleet.connect(gateway, keeper);
                }
            }
            fleet.start_gateway(0);
            THEN("the gateway has sent its records again") {
                CHECK(count_found(1, count) == count);
            }
        }
        WHEN("a gateway and the keeper of its own domain are cut off from each other") {
            fleet.cut_link(1, 1);
            THEN("it finds nearly all at the other holders") {
                CHECK(count_found(1, count) >= count * 95 / 100);
            }
        }
        WHEN("a gateway is cut off from all keepers") {
            for (std::size_t keeper : {0, 1, 2}) {
                fleet.cut_link(1, keeper);
            }
            THEN("it finds out within the time for a lookup that it can't know them") {
                const time_point begin = fleet.time.now();
                CHECK(outcome(1, "0") == lookup_outcome::unanswered);
                CHECK(fleet.time.now() - begin <=
                      duration(streams::max_lookup_time) + duration(20ms));
            }
        }
        WHEN("the version of a stream turns out to be unknown") {
            fleet.gateway(0).withdraw(stream_id("0"), timeout);
            THEN("it is known as such at each gateway") {
                for (const std::size_t gateway : {0, 1, 2}) {
                    CHECK(outcome(gateway, "0") == lookup_outcome::version_unknown);
                }
            }
            AND_WHEN("a keeper has restarted since") {
                fleet.start_keeper(0);
                fleet.connect(0, 0);
                THEN("it is still known as such") {
                    CHECK(outcome(2, "0") == lookup_outcome::version_unknown);
                }
            }
        }
        // The record of the first version stayed at the keepers, and a take-up went on at it.
        WHEN("its version turns out to be unknown after the gateway has evicted its own record") {
            for (std::size_t i = 0; i < streams::max_gateway_records; ++i) {
                fleet.time.advance(1us);
                fleet.begin(0, "later" + std::to_string(i));
            }
            fleet.gateway(0).withdraw(stream_id("0"), timeout);
            THEN("it is known as such at the other gateways") {
                CHECK(outcome(1, "0") == lookup_outcome::version_unknown);
                CHECK(outcome(2, "0") == lookup_outcome::version_unknown);
            }
        }
        WHEN("a stream goes on at another gateway until after the first record has expired") {
            fleet.time.advance(timeout);
            REQUIRE(outcome(1, "0") == lookup_outcome::found);
            fleet.begin(1, "0", v1);
            fleet.time.advance(duration(streams::return_margin) + duration(1s));
            THEN("it is still known, unlike the others") {
                CHECK(outcome(2, "0") == lookup_outcome::found);
                CHECK(outcome(2, "1") == lookup_outcome::stream_unknown);
            }
        }
        WHEN("the records have expired") {
            fleet.time.advance(timeout + duration(streams::return_margin));
            THEN("the streams are not known any more") {
                CHECK(outcome(0, "0") == lookup_outcome::stream_unknown);
            }
        }
    }
    // A keeper that had been a holder went on to tell the version of a stream withdrawn meanwhile.
    GIVEN("streams whose records a keeper held in place of another") {
        constexpr int count = 50;
        fleet.gateway(0).keeper_lost(instance_id("keeper0"));
        for (int i = 0; i < count; ++i) {
            fleet.begin(0, std::to_string(i));
        }
        fleet.connect(0, 0);
        WHEN("they are withdrawn while it can't be reached, and its link opens anew") {
            fleet.gateway(0).keeper_lost(instance_id("keeper1"));
            for (int i = 0; i < count; ++i) {
                fleet.gateway(0).withdraw(stream_id(std::to_string(i)), timeout);
            }
            fleet.connect(0, 1);
            THEN("a gateway that reaches this keeper only finds no version") {
                fleet.cut_link(1, 0);
                fleet.cut_link(1, 2);
                CHECK(count_found(1, count) == 0);
            }
        }
    }
    // Take-ups of a route with a short timeout were refused while a gateway had many other streams.
    GIVEN("a gateway whose table is full of streams that last longer") {
        for (std::size_t i = 0; i < streams::max_gateway_records; ++i) {
            fleet.begin(0, "long" + std::to_string(i));
        }
        WHEN("it begins one that would expire before them") {
            fleet.gateway(0).record(stream_id("short"), chat, v1, timeout / 2);
            THEN("the others find it at the keepers") {
                CHECK(outcome(1, "short") == lookup_outcome::found);
                CHECK(outcome(2, "short") == lookup_outcome::found);
            }
        }
    }
    GIVEN("a lookup whose caller disconnects") {
        for (std::size_t keeper : {0, 1, 2}) {
            fleet.cut_link(1, keeper);
        }
        bool is_called = false;
        const auto lookup =
            fleet.gateway(1).look_up(stream_id("a"), 5s, [&](const auto&) { is_called = true; });
        CHECK(fleet.gateway(1).open_lookups() == 1);
        fleet.gateway(1).cancel(lookup);
        THEN("nothing of it is left") {
            CHECK(fleet.gateway(1).open_lookups() == 0);
            fleet.time.advance(1s);
            fleet.run_timers();
            CHECK(!is_called);
        }
    }
}

namespace {

constexpr std::size_t streams_per_second = 8800;
constexpr std::size_t keeper_count = 6;

/// Begins a second's streams at the gateways in turn and checks what their records cost.
void check_cost(std::size_t gateways) {
    linked_fleet fleet(gateways, keeper_count);
    const auto log_level = spdlog::get_level();
    spdlog::set_level(spdlog::level::warn);
    for (std::size_t i = 0; i < streams_per_second; ++i) {
        std::string stream = std::to_string(i);
        stream.insert(0, 16 - stream.size(), '0');
        fleet.begin(i % gateways, stream);
    }
    spdlog::set_level(log_level);
    std::size_t most_at_a_gateway = 0;
    std::size_t most_at_a_keeper = 0;
    for (const auto& [id, bytes] : fleet.bytes) {
        std::size_t& most = id.value().starts_with("keeper") ? most_at_a_keeper : most_at_a_gateway;
        most = std::max(most, bytes);
    }
    MESSAGE("bytes a second at a gateway ", most_at_a_gateway, ", at a keeper ", most_at_a_keeper);
    THEN("each stream costs two messages of less than 100 bytes") {
        constexpr std::size_t bytes_per_stream = 2 * 100;
        CHECK(fleet.messages == 2 * streams_per_second);
        CHECK(most_at_a_gateway < (streams_per_second / gateways + 1) * bytes_per_stream);
        // Half more than an equal part, since the hash may be uneven.
        CHECK(most_at_a_keeper < streams_per_second / keeper_count * bytes_per_stream * 3 / 2);
    }
}

} // namespace

SCENARIO("the cost of a stream's record does not grow with the fleet") {
    GIVEN("8,800 streams a second at three gateways") {
        check_cost(3);
    }
    GIVEN("8,800 streams a second at nine gateways") {
        check_cost(9);
    }
    GIVEN("8,800 streams a second at 249 gateways") {
        check_cost(249);
    }
}
