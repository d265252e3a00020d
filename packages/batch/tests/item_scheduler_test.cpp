#include "batch/item_scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

namespace {

/// A scheduler, its clock and the actions that it has returned.
class fixture {
public:
    void dispatch(const scheduler_message& message) {
        for (const scheduler_action& action : this->scheduler.handle(message, this->now)) {
            if (const auto* started = std::get_if<start_run>(&action)) {
                this->started.push_back(*started);
                this->latest_runs[started->item.value()] = *started;
            } else if (const auto* cancelled = std::get_if<cancel_run>(&action)) {
                this->cancelled.push_back(cancelled->run);
            } else if (const auto* completed = std::get_if<item_completed>(&action)) {
                this->completed.push_back(completed->job.value() + "/" + completed->item.value());
            } else if (const auto* given_up = std::get_if<item_given_up>(&action)) {
                this->given_up.push_back(given_up->item.value() + " " +
                                         to_string(given_up->reason));
            }
        }
    }
    void add_engine(const std::string& id, int slots, std::uint64_t version = 1) {
        engine added;
        added.id = target_id(id);
        added.service = backend_name("llm");
        added.slots = slots;
        added.memory = tokens(1000000);
        added.versions[model_name("m")] = weight_version(version);
        this->engines[id] = added;
        this->dispatch(engine_updated{added, false});
    }
    job_opened make_job(const std::string& id, const std::map<std::string, int>& items,
                        std::uint64_t oldest = 1) {
        job_opened opened;
        opened.job = job_id(id);
        opened.model = model_name("m");
        opened.oldest_version = weight_version(oldest);
        opened.services = {backend_name("llm")};
        opened.max_failures = 2;
        opened.is_resumable = true;
        opened.tokens_per_event = tokens(64);
        opened.give_up_at = this->now + 40s;
        for (const auto& [name, output] : items) {
            opened.items.push_back({item_id(name), item_group_id("g"), tokens(10), tokens(output)});
        }
        return opened;
    }
    run_id run_of(const std::string& item) { return this->latest_runs.at(item).run; }
    std::string engine_of(const std::string& item) {
        return this->latest_runs.at(item).engine.value();
    }
    void progress(const std::string& item, std::size_t event, std::uint64_t version = 1) {
        this->dispatch(run_progressed{this->run_of(item), event, weight_version(version),
                                      weight_version(version)});
    }

    item_scheduler scheduler;
    time_point now = time_point(100s);
    std::vector<start_run> started;
    /// Latest run of each item.
    std::map<std::string, start_run> latest_runs;
    std::map<std::string, engine> engines;
    std::vector<run_id> cancelled;
    std::vector<std::string> completed;
    std::vector<std::string> given_up;
};

} // namespace

SCENARIO("items start on the engine where they are expected to complete first") {
    fixture test;
    GIVEN("one engine with two slots and three items") {
        test.add_engine("e", 2);
        test.dispatch(test.make_job("j", {{"short", 10}, {"long", 900}, {"middle", 100}}));
        THEN("the two longest items start") {
            REQUIRE(test.started.size() == 2);
            CHECK(test.started[0].item == item_id("long"));
            CHECK(test.started[1].item == item_id("middle"));
        }
        WHEN("one item completes") {
            test.dispatch(run_completed{test.run_of("middle")});
            THEN("the remaining item takes its slot") {
                CHECK(test.completed == std::vector<std::string>{"j/middle"});
                CHECK(test.started.back().item == item_id("short"));
            }
        }
        WHEN("the job is closed") {
            test.dispatch(job_closed{job_id("j")});
            THEN("current runs may finish, and no further run starts") {
                test.dispatch(run_completed{test.run_of("long")});
                CHECK(test.completed == std::vector<std::string>{"j/long"});
                CHECK(test.started.size() == 2);
                CHECK(test.scheduler.waiting_count() == 0);
            }
            AND_WHEN("its incomplete item recurs in the next job") {
                test.progress("long", 5, 2);
                test.dispatch(test.make_job("k", {{"long", 900}}, 2));
                test.dispatch(run_completed{test.run_of("long")});
                THEN("the run completes the item of the next job") {
                    CHECK(test.completed == std::vector<std::string>{"k/long"});
                    CHECK(test.cancelled.empty());
                }
            }
            AND_WHEN("its incomplete item recurs in a job that does not accept its weights") {
                test.progress("long", 5, 1);
                test.add_engine("fresh", 2, 2);
                test.dispatch(test.make_job("k", {{"long", 900}}, 2));
                THEN("it restarts on an engine with newer weights") {
                    CHECK(test.cancelled.size() == 1);
                    CHECK(test.engine_of("long") == "fresh");
                    CHECK(test.latest_runs.at("long").resume_after == 0);
                }
            }
        }
    }
    GIVEN("an engine with old weights and an engine with new weights") {
        test.add_engine("old", 4, 1);
        test.add_engine("fresh", 1, 3);
        test.dispatch(test.make_job("j", {{"a", 10}, {"b", 20}}, 2));
        THEN("only the engine whose weights the job accepts receives an item") {
            REQUIRE(test.started.size() == 1);
            CHECK(test.engine_of("b") == "fresh");
        }
        WHEN("the other engine has loaded newer weights") {
            test.engines["old"].versions[model_name("m")] = weight_version(2);
            test.dispatch(engine_updated{test.engines["old"], false});
            THEN("it receives the other item") {
                CHECK(test.engine_of("a") == "old");
            }
        }
    }
}

SCENARIO("the items that the submitter needs most start first") {
    fixture test;
    test.add_engine("e", 1);
    GIVEN("a job of four groups of which three are required, one of them carried over from an "
          "earlier job") {
        job_opened earlier = test.make_job("i", {{"x", 10}});
        earlier.items[0].group = item_group_id("old");
        test.dispatch(earlier);
        test.dispatch(job_closed{job_id("i")});
        test.dispatch(run_completed{test.run_of("x")});
        job_opened job = test.make_job("j", {{"a", 10}, {"b", 20}, {"c", 900}, {"d", 5}});
        job.groups_required = 3;
        for (pending_item& item : job.items) {
            item.group = item_group_id(item.id.value() == "d" ? "old" : item.id.value());
        }
        test.dispatch(job);
        std::vector<std::string> order;
        for (int i = 0; i < 4; ++i) {
            order.push_back(test.started.back().item.value());
            test.dispatch(run_completed{test.started.back().run});
        }
        THEN("the carried-over group starts first, then the required ones, the longest first, then "
             "the spare one") {
            CHECK(order == std::vector<std::string>{"d", "b", "a", "c"});
        }
    }
    GIVEN(
        "a spare item, a free engine with old weights and a busy engine with the newest weights") {
        test.add_engine("fresh", 1, 2);
        job_opened job = test.make_job("j", {{"a", 10}, {"b", 20}, {"c", 900}});
        job.groups_required = 2;
        for (pending_item& item : job.items) {
            item.group = item_group_id(item.id.value());
        }
        test.dispatch(job);
        REQUIRE(test.started.size() == 2);
        const std::string on_old = test.engine_of("a") == "e" ? "a" : "b";
        const std::string on_fresh = on_old == "a" ? "b" : "a";
        test.dispatch(run_completed{test.run_of(on_old)});
        THEN("the spare item waits for the engine with the newest weights") {
            CHECK(test.started.size() == 2);
            test.dispatch(run_completed{test.run_of(on_fresh)});
            CHECK(test.engine_of("c") == "fresh");
        }
        THEN("the spare item starts with old weights after its maximum wait") {
            test.now += 1500ms;
            test.progress(on_fresh, 1, 2);
            test.now += 1100ms;
            test.dispatch(timer_expired{});
            CHECK(test.engine_of("c") == "e");
        }
    }
}

SCENARIO("an item whose run ends early resumes") {
    fixture test;
    test.add_engine("e", 1);
    test.add_engine("f", 1);
    test.dispatch(test.make_job("j", {{"a", 100}}));
    const std::string first = test.engine_of("a");
    GIVEN("a run that breaks after its third event") {
        test.progress("a", 3);
        test.dispatch(run_failed{test.run_of("a"), run_failure::broken});
        THEN("the item resumes after that event on the other engine") {
            CHECK(test.engine_of("a") != first);
            CHECK(test.latest_runs.at("a").resume_after == 3);
            CHECK(test.latest_runs.at("a").cause == run_cause::again);
        }
    }
    GIVEN("runs that fail as often as allowed") {
        test.dispatch(run_failed{test.run_of("a"), run_failure::failed});
        test.dispatch(run_failed{test.run_of("a"), run_failure::failed});
        THEN("the item is given up after the last failure, and not before") {
            CHECK(test.started.size() == 2);
            CHECK(test.given_up == std::vector<std::string>{"a failures"});
        }
    }
    GIVEN("an engine that reports that the item can never succeed") {
        test.dispatch(run_failed{test.run_of("a"), run_failure::impossible});
        THEN("the item is given up at once") {
            CHECK(test.given_up == std::vector<std::string>{"a impossible"});
        }
    }
    GIVEN("an engine that declines the run") {
        test.dispatch(run_failed{test.run_of("a"), run_failure::declined});
        THEN("the run does not count as failed, and the other engine receives the item") {
            CHECK(test.engine_of("a") != first);
            test.dispatch(run_failed{test.run_of("a"), run_failure::declined});
            CHECK(test.given_up.empty());
        }
    }
    GIVEN("an engine that stops sending events") {
        test.progress("a", 2);
        test.now += 1300ms;
        test.dispatch(timer_expired{});
        THEN("the run is cancelled and the item resumes on the other engine") {
            CHECK(test.cancelled.size() == 1);
            CHECK(test.engine_of("a") != first);
            CHECK(test.latest_runs.at("a").resume_after == 2);
        }
    }
    GIVEN("an engine that stops sending events while another engine sends them continuously") {
        test.add_engine("g", 1);
        test.dispatch(test.make_job("k", {{"b", 100}}));
        std::size_t event = 0;
        while (test.now < time_point(103s)) {
            test.now += 5ms;
            test.progress("b", ++event);
            if (*test.scheduler.next_wakeup() <= test.now) {
                test.dispatch(timer_expired{});
            }
        }
        THEN("its run times out nevertheless") {
            CHECK(test.engine_of("a") != first);
        }
    }
    GIVEN("an engine on which every run breaks at once") {
        fixture faulty;
        faulty.add_engine("x", 1);
        faulty.dispatch(faulty.make_job("j", {{"a", 100}}));
        int starts = 0;
        for (int i = 0; i < 200; ++i) {
            if (!faulty.started.empty()) {
                ++starts;
                faulty.started.clear();
                faulty.dispatch(run_failed{faulty.run_of("a"), run_failure::broken});
            }
            faulty.now += 50ms;
            faulty.dispatch(timer_expired{});
        }
        THEN("it receives runs at increasing intervals") {
            CHECK(starts >= 3);
            CHECK(starts <= 5);
        }
    }
    // Requests that crash their targets are refused in the end; an item stays owed.
    GIVEN("an item under whose runs engines end, again and again") {
        while (test.now < time_point(120s)) {
            test.dispatch(run_failed{test.run_of("a"), run_failure::broken});
            const std::size_t starts = test.started.size();
            while (test.started.size() == starts && test.now < time_point(139s)) {
                test.now += 50ms;
                test.dispatch(timer_expired{});
            }
            REQUIRE(test.started.size() > starts);
        }
        REQUIRE(test.started.size() > 5);
        THEN("it is not given up, and completes where an engine runs it") {
            CHECK(test.given_up.empty());
            test.dispatch(run_completed{test.run_of("a")});
            CHECK(test.completed == std::vector<std::string>{"j/a"});
        }
    }
    GIVEN("an event from weights that the job does not accept") {
        test.progress("a", 2, 0);
        THEN("the event is discarded and the item restarts") {
            CHECK(test.cancelled.size() == 1);
            CHECK(test.latest_runs.at("a").resume_after == 0);
        }
    }
    GIVEN("a job that is not complete at its time limit") {
        test.now += 41s;
        test.dispatch(timer_expired{});
        THEN("its items are given up") {
            CHECK(test.given_up == std::vector<std::string>{"a too-late"});
        }
    }
}

// Guards against items that ran again after their results: a new leader opens a job, and a result
// that the earlier leader had submitted is recorded after that.
SCENARIO("an item that has a result runs no more") {
    fixture test;
    GIVEN("an engine with two slots, and a job with two running items and a waiting one") {
        test.add_engine("e", 2);
        test.dispatch(test.make_job("j", {{"long", 900}, {"middle", 100}, {"short", 10}}));
        REQUIRE(test.started.size() == 2);
        WHEN("a result of a running item is recorded") {
            const run_id superfluous = test.run_of("long");
            test.dispatch(results_recorded{job_id("j"), {item_id("long")}});
            THEN("its run is cancelled, and the waiting item takes the slot") {
                CHECK(test.cancelled == std::vector<run_id>{superfluous});
                CHECK(test.started.back().item == item_id("short"));
            }
            AND_WHEN("its engine restarts, and the cancelled run reports its end") {
                test.dispatch(engine_updated{test.engines.at("e"), true});
                test.dispatch(run_failed{superfluous, run_failure::broken});
                test.dispatch(run_completed{superfluous});
                THEN("it does not start again, and is not completed twice") {
                    CHECK(std::count_if(test.started.begin(), test.started.end(),
                                        [](const start_run& run) {
                                            return run.item == item_id("long");
                                        }) == 1);
                    CHECK(test.completed.empty());
                }
            }
        }
        WHEN("results of all items are recorded") {
            test.dispatch(results_recorded{job_id("j"),
                                           {item_id("long"), item_id("middle"), item_id("short")}});
            test.now += 60s;
            test.dispatch(timer_expired{});
            THEN("none of them waits, runs or is given up") {
                CHECK(test.scheduler.waiting_count() == 0);
                CHECK(test.scheduler.running_count() == 0);
                CHECK(test.given_up.empty());
            }
        }
        WHEN("an item recurs in the next job, and its result of the first one is recorded") {
            test.progress("long", 1, 1);
            test.dispatch(test.make_job("k", {{"long", 900}}, 2));
            test.dispatch(results_recorded{job_id("j"), {item_id("long")}});
            THEN("it still runs for the next job") {
                test.add_engine("new", 1, 2);
                CHECK(test.started.back().item == item_id("long"));
                CHECK(test.started.back().job == job_id("k"));
            }
        }
    }
}

SCENARIO("long runs move away from slow engines") {
    fixture test;
    for (const char* id : {"e", "f", "g"}) {
        test.add_engine(id, 2);
    }
    test.dispatch(test.make_job("j", {{"a", 4000}, {"b", 4000}, {"c", 4000}}));
    GIVEN("an engine that is five times slower than the others") {
        for (std::size_t event = 1; event < 40; ++event) {
            test.now += 40ms;
            test.progress("a", event);
            test.progress("b", event);
            if (event % 5 == 0) {
                test.progress("c", event / 5);
            }
        }
        const std::string slow = test.engine_of("c");
        WHEN("the job is closed first") {
            test.dispatch(job_closed{job_id("j")});
            test.dispatch(timer_expired{});
            THEN("no further run of the job starts") {
                CHECK(test.started.size() == 3);
            }
        }
        test.dispatch(timer_expired{});
        THEN("the item resumes on another engine after its last event") {
            CHECK(test.engine_of("c") != slow);
            CHECK(test.latest_runs.at("c").resume_after == 7);
            CHECK(test.latest_runs.at("c").cause == run_cause::moved);
        }
    }
}

namespace {

/// Processor time that this thread has used.
std::chrono::nanoseconds processor_time() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace

SCENARIO("the scheduler processes the events of a large fleet cheaply") {
    fixture test;
    GIVEN("48 engines that are full or have weights that are too old, and hundreds of waiting "
          "items") {
        for (int i = 0; i < 40; ++i) {
            test.add_engine("new" + std::to_string(i), 8, 2);
        }
        for (int i = 0; i < 8; ++i) {
            test.add_engine("old" + std::to_string(i), 8, 1);
        }
        std::map<std::string, int> items;
        for (int i = 0; i < 600; ++i) {
            items["item" + std::to_string(i)] = 1344;
        }
        test.dispatch(test.make_job("j", items, 2));
        REQUIRE(test.started.size() == 320);
        THEN(
            "an event takes at most a tenth of its share of 0.3 cores at 2,800 events per second") {
            constexpr int rounds = 20;
            constexpr auto allowed = std::chrono::microseconds(10);
            const auto started_at = processor_time();
            for (int round = 1; round <= rounds; ++round) {
                test.now += 45ms;
                for (const auto& [item, run] : test.latest_runs) {
                    test.progress(item, static_cast<std::size_t>(round), 2);
                }
            }
            CHECK((processor_time() - started_at) / (rounds * 320) < allowed);
        }
    }
}

SCENARIO("runs do not time out while the scheduler's own process is stalled") {
    fixture test;
    GIVEN("runs with events, and checks at regular intervals") {
        test.add_engine("a", 2);
        test.add_engine("b", 2);
        test.dispatch(test.make_job("j", {{"x", 900}, {"y", 900}}));
        test.progress("x", 1);
        test.progress("y", 1);
        test.now += 100ms;
        test.dispatch(timer_expired{});
        WHEN("the process is stalled for several seconds") {
            test.now += 5s;
            test.dispatch(timer_expired{});
            THEN("no run is cancelled") {
                CHECK(test.cancelled.empty());
            }
            AND_WHEN("one of the runs then sends no events during regular checks") {
                test.progress("y", 2);
                for (int i = 0; i < 13; ++i) {
                    test.now += 100ms;
                    test.progress("y", static_cast<std::size_t>(3 + i));
                    test.dispatch(timer_expired{});
                }
                THEN("that run is cancelled") {
                    CHECK(test.cancelled.size() == 1);
                }
            }
        }
    }
}

SCENARIO("the timeout for a run's first event starts when the run is sent") {
    fixture test;
    GIVEN("a run that is sent 1.4 s after its start") {
        test.add_engine("a", 1);
        test.add_engine("b", 1);
        test.dispatch(timer_expired{});
        test.dispatch(test.make_job("j", {{"x", 900}}));
        for (int i = 0; i < 14; ++i) {
            test.now += 100ms;
            test.dispatch(timer_expired{});
        }
        test.dispatch(run_sent{test.run_of("x")});
        WHEN("its engine sends no event for another second") {
            for (int i = 0; i < 10; ++i) {
                test.now += 100ms;
                test.dispatch(timer_expired{});
            }
            THEN("the run is not cancelled") {
                CHECK(test.cancelled.empty());
            }
        }
    }
}

SCENARIO("a burst of first events does not make an engine count as slow") {
    fixture test;
    GIVEN("three engines, one of whose first events arrive late and in a burst") {
        for (const char* id : {"a", "b", "c"}) {
            test.add_engine(id, 2);
        }
        test.dispatch(test.make_job("j", {{"x", 9000}, {"y", 9000}, {"z", 9000}}));
        const auto advance = [&](duration time, std::size_t event, bool includes_late_run) {
            test.now += time;
            for (const char* item : {"x", "y", "z"}) {
                if (includes_late_run || *item != 'z') {
                    test.progress(item, event);
                }
            }
            test.dispatch(timer_expired{});
        };
        advance(50ms, 1, true);
        advance(50ms, 2, false);
        advance(50ms, 3, false);
        test.progress("z", 2);
        advance(50ms, 4, false);
        WHEN("its events then arrive at the same rate as those of the others") {
            for (std::size_t event = 5; event < 30; ++event) {
                advance(50ms, event, true);
            }
            THEN("no run is cancelled") {
                CHECK(test.cancelled.empty());
            }
        }
    }
}
