#include "batch/item_scheduler.h"
#include "permits/permit_account.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

namespace {

/// A scheduler before engines of which one takes two requests a second.
struct limited_fixture {
    permits::permit_account permits{{}, 1};
    item_scheduler scheduler{{}, &this->permits};
    time_point now = time_point(100s);
    std::vector<start_run> started;

    limited_fixture() {
        this->add_engine("limited");
        this->permits.apply(
            {target_id("limited"), incarnation_id(), requests_per_second(2), this->now});
    }
    void dispatch(const scheduler_message& message) {
        for (const scheduler_action& action : this->scheduler.handle(message, this->now)) {
            if (const auto* start = std::get_if<start_run>(&action)) {
                this->started.push_back(*start);
            }
        }
    }
    void add_engine(const std::string& id) {
        engine added;
        added.id = target_id(id);
        added.service = backend_name("llm");
        added.slots = 2;
        added.memory = tokens(1000000);
        added.versions[model_name("m")] = weight_version(1);
        this->dispatch(engine_updated{added, false});
    }
    void open_job(const std::map<std::string, int>& items) {
        job_opened opened;
        opened.job = job_id("j");
        opened.model = model_name("m");
        opened.oldest_version = weight_version(1);
        opened.services = {backend_name("llm")};
        opened.max_failures = 2;
        opened.is_resumable = true;
        opened.tokens_per_event = tokens(64);
        opened.give_up_at = this->now + 40s;
        for (const auto& [name, output] : items) {
            opened.items.push_back({item_id(name), item_group_id("g"), tokens(10), tokens(output)});
        }
        this->dispatch(opened);
    }
    void grant(std::uint32_t count) {
        const auto demands = this->permits.collect_demands(this->now);
        REQUIRE(demands.size() == 1);
        this->permits.handle(
            {target_id("limited"), incarnation_id(), demands[0].number, count, 0s, 3}, this->now);
        this->dispatch(permits_updated{});
    }
};

} // namespace

// Runs started on an engine as fast as it had slots, whatever rate it named.
SCENARIO("runs start on a limited engine by permit only") {
    limited_fixture fixture;
    GIVEN("a job, and no other engine") {
        fixture.open_job({{"short", 10}, {"long", 900}, {"middle", 100}});
        REQUIRE(fixture.started.empty());
        WHEN("a permit arrives") {
            fixture.grant(1);
            THEN("the longest item starts, and the next one waits") {
                REQUIRE(fixture.started.size() == 1);
                CHECK(fixture.started[0].item == item_id("long"));
                CHECK(fixture.permits.sent_recently(target_id("limited"), fixture.now) == 1);
            }
        }
        WHEN("the limit ends") {
            fixture.now += 1s;
            fixture.permits.apply({target_id("limited"), incarnation_id(), {}, fixture.now});
            fixture.dispatch(permits_updated{});
            THEN("items start as slots allow") {
                CHECK(fixture.started.size() == 2);
            }
        }
        WHEN("permits are asked for") {
            const auto demands = fixture.permits.collect_demands(fixture.now);
            THEN("there is one for each free slot, behind the requests of callers") {
                REQUIRE(demands.size() == 1);
                CHECK(demands[0].background == 2);
                CHECK(demands[0].waiting == 0);
            }
        }
    }
    GIVEN("an unlimited engine beside it, and a permit") {
        fixture.add_engine("free");
        fixture.open_job({{"a", 100}});
        THEN("the item starts on the unlimited one") {
            REQUIRE(fixture.started.size() == 1);
            CHECK(fixture.started[0].engine == target_id("free"));
        }
    }
}
