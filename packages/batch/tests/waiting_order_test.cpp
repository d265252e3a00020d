#include "batch/item_scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

namespace {

constexpr duration event_interval = 50ms;

/// A scheduler before one engine that streams an event every 50 ms.
class one_engine {
public:
    explicit one_engine(int slots) {
        engine added;
        added.id = target_id("e");
        added.service = backend_name("llm");
        added.slots = slots;
        added.memory = tokens(1000000);
        added.versions[model_name("m")] = weight_version(1);
        this->dispatch(engine_updated{added, false});
        this->measure_interval();
    }
    void dispatch(const scheduler_message& message) {
        for (const scheduler_action& action : this->scheduler.handle(message, this->now)) {
            if (const auto* start = std::get_if<start_run>(&action)) {
                this->started.push_back(start->item.value());
                this->runs[start->item.value()] = start->run;
            }
        }
    }
    /// A job with one item of this many events in each group.
    static job_opened job(const std::string& id, const std::map<std::string, int>& groups) {
        job_opened opened;
        opened.job = job_id(id);
        opened.model = model_name("m");
        opened.oldest_version = weight_version(1);
        opened.services = {backend_name("llm")};
        opened.is_resumable = true;
        opened.give_up_at = time_point::max();
        for (const auto& [name, events] : groups) {
            opened.items.push_back(
                {item_id(name), item_group_id(name), tokens(10), tokens(events)});
        }
        return opened;
    }
    job_opened due_job(const std::string& id, duration from_now,
                       const std::map<std::string, int>& groups) const {
        job_opened opened = job(id, groups);
        opened.due_at = this->now + from_now;
        return opened;
    }
    void complete(const std::string& item) { this->dispatch(run_completed{this->runs.at(item)}); }
    /// Completes the items in the order in which they started until none runs.
    std::vector<std::string> complete_all() {
        for (std::size_t i = 0; i < this->started.size(); ++i) {
            this->complete(this->started[i]);
        }
        return this->started;
    }
    void progress(const std::string& item, std::size_t event) {
        this->dispatch(
            run_progressed{this->runs.at(item), event, weight_version(1), weight_version(1)});
    }

    item_scheduler scheduler;
    time_point now = time_point(100s);
    std::vector<std::string> started;
    std::map<std::string, run_id> runs;

private:
    void measure_interval() {
        this->dispatch(job("measure", {{"first", 100}}));
        for (std::size_t event = 1; event <= 4; ++event) {
            this->progress("first", event);
            this->now += event_interval;
        }
        this->dispatch(timer_expired{});
        this->complete("first");
        this->started.clear();
    }
};

} // namespace

// Items were ordered by length alone, so that a step with time to spare took the slots of one that
// was about to miss its due time.
SCENARIO("the item with the least slack starts first") {
    one_engine test(1);
    GIVEN("a running item and three steps that wait") {
        test.dispatch(one_engine::job("running", {{"r", 1}}));
        WHEN("the steps are due at different times") {
            test.dispatch(test.due_job("relaxed", 60s, {{"relaxed-long", 150}}));
            test.dispatch(test.due_job("urgent", 2s, {{"urgent", 10}}));
            test.dispatch(test.due_job("middle", 8s, {{"middle-long", 150}, {"middle-short", 5}}));
            THEN("the due time less the expected work decides, whichever job the item is of") {
                CHECK(test.complete_all() == std::vector<std::string>{"r", "middle-long", "urgent",
                                                                      "middle-short",
                                                                      "relaxed-long"});
            }
        }
        WHEN("a group is expected to miss its due time") {
            test.dispatch(test.due_job("behind", 1s, {{"hopeless", 150}, {"possible", 10}}));
            test.dispatch(test.due_job("on-time", 5s, {{"on-time", 20}}));
            THEN("its slack decides too, since its trainer waits for it in any case") {
                CHECK(test.complete_all() ==
                      std::vector<std::string>{"r", "hopeless", "possible", "on-time"});
            }
        }
        WHEN("a job without a due time waits beside one that has one") {
            test.dispatch(one_engine::job("any-time", {{"long", 900}, {"short", 10}}));
            test.dispatch(test.due_job("due", 9s, {{"due", 20}}));
            THEN("it goes behind, the longest items first") {
                CHECK(test.complete_all() == std::vector<std::string>{"r", "due", "long", "short"});
            }
        }
    }
}

// The ranks were set when the job opened and kept, so that wrong estimates kept slots for groups
// that their trainer no longer needed.
SCENARIO("groups are ranked again as items complete") {
    one_engine test(1);
    GIVEN("a step that needs two of its three groups, the first of which is one item short") {
        job_opened step = test.due_job("j", 20s, {{"a", 10}, {"b", 20}, {"c", 30}});
        step.groups_required = 2;
        step.items.push_back({item_id("a2"), item_group_id("a"), tokens(10), tokens(10)});
        test.dispatch(step);
        REQUIRE(test.started == std::vector<std::string>{"b"});
        WHEN("another step waits, and enough groups are complete") {
            test.dispatch(test.due_job("k", 40s, {{"other", 20}}));
            test.complete("b");
            test.complete("a");
            test.complete("a2");
            THEN("the spare group yields to the needed one of the other step") {
                CHECK(test.started == std::vector<std::string>{"b", "a", "a2", "other"});
            }
        }
        WHEN("an item of a needed group far exceeds its estimate") {
            test.progress("b", 200);
            test.dispatch(timer_expired{});
            test.dispatch(run_completed{test.runs.at("b")});
            THEN("the groups that are nearest to completion are needed") {
                CHECK(test.complete_all() == std::vector<std::string>{"b", "a", "a2", "c"});
            }
        }
        WHEN("an item of a needed group is given up") {
            test.dispatch(run_failed{test.runs.at("b"), run_failure::impossible});
            THEN("the next group takes its place, and starts before the items of later steps") {
                test.dispatch(test.due_job("k", 40s, {{"other", 20}}));
                CHECK(test.complete_all().back() == "other");
            }
        }
    }
    GIVEN("a step of which one group was complete when a new leader opened it") {
        job_opened step = test.due_job("j", 20s, {{"a", 10}, {"b", 20}});
        step.groups_required = 2;
        step.groups_complete = 1;
        test.dispatch(one_engine::job("running", {{"r", 1}}));
        test.dispatch(step);
        test.dispatch(test.due_job("k", 40s, {{"other", 20}}));
        THEN("only one more is needed") {
            CHECK(test.complete_all() == std::vector<std::string>{"r", "a", "other", "b"});
        }
    }
}
