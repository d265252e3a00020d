#include "batch/item_scheduler.h"

#include <doctest/doctest.h>

#include <ctime>
#include <map>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

namespace {

/// A scheduler with its clock, and what it wants so far.
class fixture {
public:
    void notify(const scheduler_message& said) {
        for (const scheduler_action& one : this->part.handle(said, this->now)) {
            if (const auto* started = std::get_if<start_run>(&one)) {
                this->started.push_back(*started);
                this->live[started->item.value()] = *started;
            } else if (const auto* cancelled = std::get_if<cancel_run>(&one)) {
                this->cancelled.push_back(cancelled->run);
            } else if (const auto* completed = std::get_if<item_completed>(&one)) {
                this->completed.push_back(completed->job.value() + "/" + completed->item.value());
            } else if (const auto* lost = std::get_if<item_given_up>(&one)) {
                this->given_up.push_back(lost->item.value() + " " + to_string(lost->reason));
            }
        }
    }
    void add_engine(const std::string& id, int slots, std::uint64_t version = 1) {
        engine made;
        made.id = target_id(id);
        made.service = backend_name("llm");
        made.slots = slots;
        made.memory = tokens(1000000);
        made.versions[model_name("m")] = weight_version(version);
        this->known[id] = made;
        this->notify(engine_changed{made, false});
    }
    job_opened make_job(const std::string& id, const std::map<std::string, int>& items,
                        std::uint64_t oldest = 1) {
        job_opened made;
        made.job = job_id(id);
        made.model = model_name("m");
        made.oldest_version = weight_version(oldest);
        made.services = {backend_name("llm")};
        made.failures_max = 2;
        made.is_resumable = true;
        made.tokens_per_event = tokens(64);
        made.give_up_at = this->now + 40s;
        for (const auto& [name, output] : items) {
            made.items.push_back({item_id(name), item_group_id("g"), tokens(10), tokens(output)});
        }
        return made;
    }
    run_id run_of(const std::string& item) { return this->live.at(item).run; }
    std::string engine_of(const std::string& item) { return this->live.at(item).engine.value(); }
    void progress(const std::string& item, std::size_t event, std::uint64_t version = 1) {
        this->notify(run_progressed{this->run_of(item), event, weight_version(version),
                                    weight_version(version)});
    }

    item_scheduler part;
    time_point now = time_point(100s);
    std::vector<start_run> started;
    std::map<std::string, start_run> live;
    std::map<std::string, engine> known;
    std::vector<run_id> cancelled;
    std::vector<std::string> completed;
    std::vector<std::string> given_up;
};

} // namespace

SCENARIO("items start where they end soonest") {
    fixture test;
    GIVEN("one engine with two slots and three items") {
        test.add_engine("e", 2);
        test.notify(test.make_job("j", {{"short", 10}, {"long", 900}, {"middle", 100}}));
        THEN("the longest two start") {
            REQUIRE(test.started.size() == 2);
            CHECK(test.started[0].item == item_id("long"));
            CHECK(test.started[1].item == item_id("middle"));
        }
        WHEN("one is done") {
            test.notify(run_completed{test.run_of("middle")});
            THEN("the last one takes its slot") {
                CHECK(test.completed == std::vector<std::string>{"j/middle"});
                CHECK(test.started.back().item == item_id("short"));
            }
        }
        WHEN("the job is closed") {
            test.notify(job_closed{job_id("j")});
            THEN("what runs may finish, and nothing more starts") {
                test.notify(run_completed{test.run_of("long")});
                CHECK(test.completed == std::vector<std::string>{"j/long"});
                CHECK(test.started.size() == 2);
                CHECK(test.part.waiting_count() == 0);
            }
            AND_WHEN("its unfinished item comes again in the next job") {
                test.progress("long", 5, 2);
                test.notify(test.make_job("k", {{"long", 900}}, 2));
                test.notify(run_completed{test.run_of("long")});
                THEN("the run counts for that job") {
                    CHECK(test.completed == std::vector<std::string>{"k/long"});
                    CHECK(test.cancelled.empty());
                }
            }
            AND_WHEN("it comes again in a job that does not allow its weights") {
                test.progress("long", 5, 1);
                test.add_engine("fresh", 2, 2);
                test.notify(test.make_job("k", {{"long", 900}}, 2));
                THEN("it begins anew on an engine that has them") {
                    CHECK(test.cancelled.size() == 1);
                    CHECK(test.engine_of("long") == "fresh");
                    CHECK(test.live.at("long").resume_after == 0);
                }
            }
        }
    }
    GIVEN("engines with old, loading and leaving states") {
        test.add_engine("old", 4, 1);
        test.add_engine("fresh", 1, 3);
        test.notify(test.make_job("j", {{"a", 10}, {"b", 20}}, 2));
        THEN("only the one with weights that are allowed gets an item") {
            REQUIRE(test.started.size() == 1);
            CHECK(test.engine_of("b") == "fresh");
        }
        WHEN("the old one has loaded them") {
            test.known["old"].versions[model_name("m")] = weight_version(2);
            test.notify(engine_changed{test.known["old"], false});
            THEN("it takes the other") {
                CHECK(test.engine_of("a") == "old");
            }
        }
    }
}

SCENARIO("what the submitter needs most comes first") {
    fixture test;
    test.add_engine("e", 1);
    GIVEN("a job of four groups of which three are wanted, one of them known from an earlier job") {
        job_opened earlier = test.make_job("i", {{"x", 10}});
        earlier.items[0].group = item_group_id("old");
        test.notify(earlier);
        test.notify(job_closed{job_id("i")});
        test.notify(run_completed{test.run_of("x")});
        job_opened job = test.make_job("j", {{"a", 10}, {"b", 20}, {"c", 900}, {"d", 5}});
        job.groups_wanted = 3;
        for (open_item& item : job.items) {
            item.group = item_group_id(item.id.value() == "d" ? "old" : item.id.value());
        }
        test.notify(job);
        std::vector<std::string> order;
        for (int i = 0; i < 4; ++i) {
            order.push_back(test.started.back().item.value());
            test.notify(run_completed{test.started.back().run});
        }
        THEN("the carried group starts, then the wanted ones, the longest first, then the spare "
             "one") {
            CHECK(order == std::vector<std::string>{"d", "b", "a", "c"});
        }
    }
    GIVEN("a spare item, a free engine with old weights and a busy one with the newest") {
        test.add_engine("fresh", 1, 2);
        job_opened job = test.make_job("j", {{"a", 10}, {"b", 20}, {"c", 900}});
        job.groups_wanted = 2;
        for (open_item& item : job.items) {
            item.group = item_group_id(item.id.value());
        }
        test.notify(job);
        REQUIRE(test.started.size() == 2);
        const std::string on_old = test.engine_of("a") == "e" ? "a" : "b";
        const std::string on_fresh = on_old == "a" ? "b" : "a";
        test.notify(run_completed{test.run_of(on_old)});
        THEN("it waits for the newest weights") {
            CHECK(test.started.size() == 2);
            test.notify(run_completed{test.run_of(on_fresh)});
            CHECK(test.engine_of("c") == "fresh");
        }
        THEN("but not for long") {
            test.now += 1500ms;
            test.progress(on_fresh, 1, 2);
            test.now += 1100ms;
            test.notify(timer_expired{});
            CHECK(test.engine_of("c") == "e");
        }
    }
}

SCENARIO("a run that ends early goes on") {
    fixture test;
    test.add_engine("e", 1);
    test.add_engine("f", 1);
    test.notify(test.make_job("j", {{"a", 100}}));
    const std::string first = test.engine_of("a");
    GIVEN("a run that breaks after its third event") {
        test.progress("a", 3);
        test.notify(run_failed{test.run_of("a"), run_failure::broken});
        THEN("it goes on after that event on the other engine") {
            CHECK(test.engine_of("a") != first);
            CHECK(test.live.at("a").resume_after == 3);
            CHECK(test.live.at("a").cause == run_cause::again);
        }
    }
    GIVEN("an engine that fails it as often as allowed") {
        test.notify(run_failed{test.run_of("a"), run_failure::failed});
        test.notify(run_failed{test.run_of("a"), run_failure::failed});
        THEN("it is given up, and not before") {
            CHECK(test.started.size() == 2);
            CHECK(test.given_up == std::vector<std::string>{"a failures"});
        }
    }
    GIVEN("an engine that says that it can never be done") {
        test.notify(run_failed{test.run_of("a"), run_failure::impossible});
        THEN("it is given up at once") {
            CHECK(test.given_up == std::vector<std::string>{"a impossible"});
        }
    }
    GIVEN("an engine that declines") {
        test.notify(run_failed{test.run_of("a"), run_failure::declined});
        THEN("that is no failure, and the other engine is tried") {
            CHECK(test.engine_of("a") != first);
            test.notify(run_failed{test.run_of("a"), run_failure::declined});
            CHECK(test.given_up.empty());
        }
    }
    GIVEN("an engine that falls silent") {
        test.progress("a", 2);
        test.now += 1300ms;
        test.notify(timer_expired{});
        THEN("the run is cancelled and goes on elsewhere") {
            CHECK(test.cancelled.size() == 1);
            CHECK(test.engine_of("a") != first);
            CHECK(test.live.at("a").resume_after == 2);
        }
    }
    GIVEN("an engine that falls silent while others send events all the time") {
        test.add_engine("g", 1);
        test.notify(test.make_job("k", {{"b", 100}}));
        std::size_t event = 0;
        while (test.now < time_point(103s)) {
            test.now += 5ms;
            test.progress("b", ++event);
            if (*test.part.next_wakeup() <= test.now) {
                test.notify(timer_expired{});
            }
        }
        THEN("that is noticed all the same") {
            CHECK(test.engine_of("a") != first);
        }
    }
    GIVEN("an engine that breaks every run at once") {
        fixture dark;
        dark.add_engine("x", 1);
        dark.notify(dark.make_job("j", {{"a", 100}}));
        int starts = 0;
        for (int i = 0; i < 200; ++i) {
            if (!dark.started.empty()) {
                ++starts;
                dark.started.clear();
                dark.notify(run_failed{dark.run_of("a"), run_failure::broken});
            }
            dark.now += 50ms;
            dark.notify(timer_expired{});
        }
        THEN("it is tried less and less often") {
            CHECK(starts >= 3);
            CHECK(starts <= 5);
        }
    }
    GIVEN("text from weights that the job does not allow") {
        test.progress("a", 2, 0);
        THEN("it is dropped and the item begins anew") {
            CHECK(test.cancelled.size() == 1);
            CHECK(test.live.at("a").resume_after == 0);
        }
    }
    GIVEN("a job that is never finished") {
        test.now += 41s;
        test.notify(timer_expired{});
        THEN("its items are given up at its limit") {
            CHECK(test.given_up == std::vector<std::string>{"a too-late"});
        }
    }
}

SCENARIO("long runs leave slow engines") {
    fixture test;
    for (const char* id : {"e", "f", "g"}) {
        test.add_engine(id, 2);
    }
    test.notify(test.make_job("j", {{"a", 4000}, {"b", 4000}, {"c", 4000}}));
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
            test.notify(job_closed{job_id("j")});
            test.notify(timer_expired{});
            THEN("nothing of it is sent any more") {
                CHECK(test.started.size() == 3);
            }
        }
        test.notify(timer_expired{});
        THEN("its run goes on elsewhere after its last event") {
            CHECK(test.engine_of("c") != slow);
            CHECK(test.live.at("c").resume_after == 7);
            CHECK(test.live.at("c").cause == run_cause::moved);
        }
    }
}

namespace {

/// Processor time of this thread.
std::chrono::nanoseconds processor_time() {
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

} // namespace

SCENARIO("a large fleet's events cost the scheduler little") {
    fixture test;
    GIVEN("48 engines, full or with weights that are too old, and hundreds of items that wait") {
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
        test.notify(test.make_job("j", items, 2));
        REQUIRE(test.started.size() == 320);
        THEN("an event takes a tenth of what 2,800 events a second leave of 0.3 of a core") {
            constexpr int rounds = 20;
            constexpr auto allowed = std::chrono::microseconds(10);
            const auto begun = processor_time();
            for (int round = 1; round <= rounds; ++round) {
                test.now += 45ms;
                for (const auto& [item, run] : test.live) {
                    test.progress(item, static_cast<std::size_t>(round), 2);
                }
            }
            CHECK((processor_time() - begun) / (rounds * 320) < allowed);
        }
    }
}

SCENARIO("a scheduler that was held up itself does not take its engines for silent") {
    fixture test;
    GIVEN("runs with events, and checks that come on time") {
        test.add_engine("a", 2);
        test.add_engine("b", 2);
        test.notify(test.make_job("j", {{"x", 900}, {"y", 900}}));
        test.progress("x", 1);
        test.progress("y", 1);
        test.now += 100ms;
        test.notify(timer_expired{});
        WHEN("the process stands still for seconds") {
            test.now += 5s;
            test.notify(timer_expired{});
            THEN("the runs stay where they are") {
                CHECK(test.cancelled.empty());
            }
            AND_WHEN("one of them stays silent with checks on time") {
                test.progress("y", 2);
                for (int i = 0; i < 13; ++i) {
                    test.now += 100ms;
                    test.progress("y", static_cast<std::size_t>(3 + i));
                    test.notify(timer_expired{});
                }
                THEN("that one moves") {
                    CHECK(test.cancelled.size() == 1);
                }
            }
        }
    }
}

SCENARIO("a run's first event is waited for from when it was sent") {
    fixture test;
    GIVEN("a run that waited 1.4 s to be sent") {
        test.add_engine("a", 1);
        test.add_engine("b", 1);
        test.notify(timer_expired{});
        test.notify(test.make_job("j", {{"x", 900}}));
        for (int i = 0; i < 14; ++i) {
            test.now += 100ms;
            test.notify(timer_expired{});
        }
        test.notify(run_sent{test.run_of("x")});
        WHEN("its engine takes a second more") {
            for (int i = 0; i < 10; ++i) {
                test.now += 100ms;
                test.notify(timer_expired{});
            }
            THEN("it stays there") {
                CHECK(test.cancelled.empty());
            }
        }
    }
}

SCENARIO("first events in lumps say nothing of an engine's pace") {
    fixture test;
    GIVEN("three engines, of which one's first events were read late") {
        for (const char* id : {"a", "b", "c"}) {
            test.add_engine(id, 2);
        }
        test.notify(test.make_job("j", {{"x", 9000}, {"y", 9000}, {"z", 9000}}));
        const auto pass = [&](duration time, std::size_t event, bool has_late) {
            test.now += time;
            for (const char* item : {"x", "y", "z"}) {
                if (has_late || *item != 'z') {
                    test.progress(item, event);
                }
            }
            test.notify(timer_expired{});
        };
        pass(50ms, 1, true);
        pass(50ms, 2, false);
        pass(50ms, 3, false);
        test.progress("z", 2);
        pass(50ms, 4, false);
        WHEN("its pace is the others' then") {
            for (std::size_t event = 5; event < 30; ++event) {
                pass(50ms, event, true);
            }
            THEN("nothing moves") {
                CHECK(test.cancelled.empty());
            }
        }
    }
}
