#include "batch/item_scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

namespace {

/// Time between two events of a run.
constexpr auto event_interval = 50ms;

/// A scheduler before engines of several software versions, and the texts that its runs yield.
class mixed_fleet {
public:
    void dispatch(const scheduler_message& message) {
        for (const scheduler_action& action : this->scheduler.handle(message, this->now)) {
            if (const auto* run = std::get_if<start_run>(&action)) {
                this->on_start(*run);
            } else if (const auto* cancelled = std::get_if<cancel_run>(&action)) {
                this->running.erase(cancelled->run);
            } else if (const auto* completed = std::get_if<item_completed>(&action)) {
                this->completed.insert(completed->item.value());
            } else if (const auto* given_up = std::get_if<item_given_up>(&action)) {
                this->given_up.insert(given_up->item.value());
            } else if (const auto* restarted = std::get_if<item_restarted>(&action)) {
                this->restarts.push_back(*restarted);
            }
        }
    }
    /// Starts the process of an engine, and announces it.
    void add_engine(const std::string& id, const std::string& software, int slots = 1,
                    std::uint64_t weights = 1, const std::string& service = "llm") {
        engine added;
        added.id = target_id(id);
        added.service = backend_name(service);
        added.software = software_version(software);
        added.slots = slots;
        added.memory = tokens(1000000);
        added.versions[model_name("m")] = weight_version(weights);
        this->engines[id] = added;
        this->processes[id] = software;
        this->dispatch(engine_updated{added, false});
    }
    /// Announces the process that runs under the engine's identifier now.
    void announce_restart(const std::string& id) {
        engine& state = this->engines.at(id);
        state.software = software_version(this->processes.at(id));
        this->dispatch(engine_updated{state, true});
    }
    void set_leaving(const std::string& id) {
        this->engines.at(id).is_leaving = true;
        this->dispatch(engine_updated{this->engines.at(id), false});
    }
    void remove_engine(const std::string& id) {
        this->dispatch(engine_removed{target_id(id)});
        this->engines.erase(id);
    }
    /// `items` are names and expected numbers of events.
    job_opened make_job(const std::string& id, const std::map<std::string, int>& items,
                        std::uint64_t oldest_weights = 1) const {
        job_opened opened;
        opened.job = job_id(id);
        opened.model = model_name("m");
        opened.oldest_version = weight_version(oldest_weights);
        opened.services = {backend_name("llm")};
        opened.max_failures = 2;
        opened.is_resumable = true;
        opened.tokens_per_event = tokens(64);
        opened.give_up_at = this->now + 40s;
        for (const auto& [name, events] : items) {
            opened.items.push_back(
                {item_id(name), item_group_id(name), tokens(10), tokens(64 * events)});
        }
        return opened;
    }
    void open_job(const std::string& id, const std::map<std::string, int>& items,
                  std::uint64_t oldest_weights = 1) {
        this->dispatch(this->make_job(id, items, oldest_weights));
    }
    /// The run of the item yields events at the usual interval.
    void receive(const std::string& item, int events) {
        for (int i = 0; i < events; ++i) {
            this->now += event_interval;
            this->receive_event(item);
        }
    }
    void receive_event(const std::string& item) {
        const start_run& run = this->latest_runs.at(item);
        REQUIRE(this->running.count(run.run) == 1);
        std::vector<std::string>& text = this->texts[item];
        text.push_back(this->processes.at(run.engine.value()));
        this->dispatch(run_progressed{run.run, text.size(), weight_version(1), weight_version(1)});
    }
    void end_run(const std::string& item, run_failure failure = run_failure::broken) {
        const run_id run = this->latest_runs.at(item).run;
        this->running.erase(run);
        this->dispatch(run_failed{run, failure});
    }
    void complete(const std::string& item) {
        const run_id run = this->latest_runs.at(item).run;
        this->running.erase(run);
        this->dispatch(run_completed{run});
    }
    /// Lets time pass with the scheduler's checks, while the runs of `lively` items yield events.
    void wait(duration time, const std::vector<std::string>& lively = {}) {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += event_interval;
            for (const std::string& item : lively) {
                this->receive_event(item);
            }
            const auto next = this->scheduler.next_wakeup();
            if (next && *next <= this->now) {
                this->dispatch(timer_expired{});
            }
        }
    }
    [[nodiscard]] bool is_running(const std::string& item) const {
        const auto run = this->latest_runs.find(item);
        return run != this->latest_runs.end() && this->running.count(run->second.run) == 1;
    }
    [[nodiscard]] std::string engine_of(const std::string& item) const {
        return this->is_running(item) ? this->latest_runs.at(item).engine.value() : "none";
    }
    [[nodiscard]] std::size_t resume_after(const std::string& item) const {
        return this->latest_runs.at(item).resume_after;
    }
    /// The software versions whose events the item's text holds.
    [[nodiscard]] std::set<std::string> versions_in(const std::string& item) const {
        const auto text = this->texts.find(item);
        return text == this->texts.end()
                   ? std::set<std::string>{}
                   : std::set<std::string>(text->second.begin(), text->second.end());
    }

    item_scheduler scheduler;
    time_point now = time_point(100s);
    /// What each engine last announced.
    std::map<std::string, engine> engines;
    /// The software version of the process that runs under each identifier.
    std::map<std::string, std::string> processes;
    std::map<std::string, start_run> latest_runs;
    std::set<run_id> running;
    /// For each event of an item's text, the version that sent it.
    std::map<std::string, std::vector<std::string>> texts;
    std::set<std::string> completed;
    std::set<std::string> given_up;
    std::vector<item_restarted> restarts;

private:
    void on_start(const start_run& run) {
        this->latest_runs[run.item.value()] = run;
        this->running.insert(run.run);
        std::vector<std::string>& text = this->texts[run.item.value()];
        if (run.resume_after == 0) {
            text.clear();
        }
        CHECK(run.resume_after == text.size());
    }
};

} // namespace

// Guards against samples with text of two software versions: an item resumed on any engine.
SCENARIO("an item resumes on an engine of the software version that sent its events") {
    mixed_fleet fleet;
    fleet.add_engine("old-1", "v1");
    fleet.open_job("j", {{"x", 200}});
    fleet.receive("x", 20);
    GIVEN("free engines of this and of another version") {
        fleet.add_engine("a-new", "v2", 4);
        fleet.add_engine("old-2", "v1");
        WHEN("the run breaks") {
            fleet.end_run("x");
            THEN("the item resumes on the engine of its version") {
                CHECK(fleet.engine_of("x") == "old-2");
                CHECK(fleet.resume_after("x") == 20);
                CHECK(fleet.restarts.empty());
            }
        }
        WHEN("the engine sends no event in time") {
            fleet.wait(1400ms);
            THEN("the item resumes on the other engine of its version") {
                CHECK(fleet.engine_of("x") == "old-2");
                CHECK(fleet.resume_after("x") == 20);
            }
        }
        WHEN("the engine declines a run that has no events yet") {
            fleet.end_run("x");
            fleet.end_run("x", run_failure::declined);
            fleet.wait(200ms);
            THEN("the item still goes on at its version") {
                CHECK(fleet.resume_after("x") == 20);
                fleet.receive("x", 1);
                CHECK(fleet.versions_in("x") == std::set<std::string>{"v1"});
            }
        }
    }
    GIVEN("free engines of three versions, none of them the item's") {
        fleet.add_engine("a", "v2");
        fleet.add_engine("b", "v3");
        fleet.set_leaving("old-1");
        fleet.end_run("x");
        REQUIRE(fleet.is_running("x"));
        fleet.receive("x", 20);
        const std::set<std::string> second = fleet.versions_in("x");
        WHEN("the second version breaks its run too, and has a further engine") {
            fleet.add_engine("c", second == std::set<std::string>{"v2"} ? "v2" : "v3");
            fleet.add_engine("0", "v1", 4);
            fleet.end_run("x");
            THEN("the item goes on at the version that its text is of now") {
                CHECK(fleet.engine_of("x") == "c");
                fleet.receive("x", 1);
                CHECK(fleet.versions_in("x") == second);
                CHECK(fleet.restarts.size() == 1);
            }
        }
    }
}

SCENARIO("an item moves from a slow engine to one of its software version, or starts anew") {
    mixed_fleet fleet;
    fleet.add_engine("old-1", "v1");
    fleet.add_engine("old-2", "v1");
    fleet.add_engine("old-3", "v1");
    GIVEN("an engine five times slower than the others, and a free engine of another version") {
        const auto run_until_slowness_shows = [&] {
            for (int event = 1; event < 40; ++event) {
                fleet.now += 40ms;
                fleet.receive_event("x");
                fleet.receive_event("y");
                if (event % 5 == 0) {
                    fleet.receive_event("z");
                }
            }
        };
        WHEN("an item with 7 events has 4 to come, and no engine of its version is free") {
            fleet.open_job("j", {{"x", 400}, {"y", 400}, {"z", 11}});
            fleet.add_engine("a-new", "v2", 4);
            const std::string slow = fleet.engine_of("z");
            run_until_slowness_shows();
            fleet.dispatch(timer_expired{});
            THEN("it stays, since a restart would take longer") {
                CHECK(fleet.engine_of("z") == slow);
                CHECK(fleet.restarts.empty());
            }
        }
        WHEN("an item with 7 events has hundreds to come, and no engine of its version is free") {
            fleet.open_job("j", {{"x", 400}, {"y", 400}, {"z", 400}});
            fleet.add_engine("a-new", "v2", 4);
            const std::string slow = fleet.engine_of("z");
            run_until_slowness_shows();
            fleet.dispatch(timer_expired{});
            fleet.wait(200ms, {"x", "y"});
            CHECK(fleet.engine_of("z") == slow);
            fleet.wait(200ms, {"x", "y"});
            THEN("it starts anew on the engine of the other version after the time of 7 events") {
                CHECK(fleet.engine_of("z") == "a-new");
                CHECK(fleet.resume_after("z") == 0);
                REQUIRE(fleet.restarts.size() == 1);
                CHECK(fleet.restarts[0].events == 7);
                CHECK(fleet.restarts[0].reason == restart_reason::version_slow);
            }
        }
        WHEN("an engine of its version is free") {
            fleet.open_job("j", {{"x", 400}, {"y", 400}, {"z", 400}});
            fleet.add_engine("a-new", "v2", 4);
            fleet.add_engine("old-4", "v1");
            run_until_slowness_shows();
            fleet.dispatch(timer_expired{});
            THEN("it moves there") {
                CHECK(fleet.engine_of("z") == "old-4");
                CHECK(fleet.resume_after("z") == 7);
            }
        }
    }
}

// Guards against items that wait for their version for longer than their events are worth, and that
// hold up others meanwhile.
SCENARIO("an item waits for its software version for as long as its events took") {
    mixed_fleet fleet;
    fleet.add_engine("old-1", "v1");
    fleet.add_engine("old-2", "v1");
    fleet.open_job("j", {{"x", 200}, {"y", 400}});
    const std::string lost = fleet.engine_of("x");
    GIVEN("an item with 30 events, and only a busy engine of its version beside free ones of "
          "another") {
        for (int event = 0; event < 30; ++event) {
            fleet.now += event_interval;
            fleet.receive_event("x");
            fleet.receive_event("y");
        }
        fleet.add_engine("a-new", "v2", 4);
        fleet.set_leaving(lost);
        fleet.end_run("x");
        THEN("the item waits") {
            CHECK(fleet.engine_of("x") == "none");
            AND_THEN("other items start meanwhile") {
                fleet.open_job("k", {{"other", 10}});
                CHECK(fleet.engine_of("other") == "a-new");
                CHECK(fleet.engine_of("x") == "none");
            }
        }
        WHEN("the busy engine is free within that time") {
            fleet.wait(1000ms, {"y"});
            fleet.complete("y");
            THEN("the item resumes there") {
                CHECK(fleet.resume_after("x") == 30);
                CHECK(fleet.versions_in("x") == std::set<std::string>{"v1"});
                CHECK(fleet.restarts.empty());
            }
        }
        WHEN("the busy engine is full for longer") {
            fleet.wait(1400ms, {"y"});
            REQUIRE(fleet.engine_of("x") == "none");
            fleet.wait(300ms, {"y"});
            THEN("the item starts anew, and what was thrown away is reported") {
                CHECK(fleet.engine_of("x") == "a-new");
                CHECK(fleet.resume_after("x") == 0);
                REQUIRE(fleet.restarts.size() == 1);
                CHECK(fleet.restarts[0].item == item_id("x"));
                CHECK(fleet.restarts[0].software == software_version("v1"));
                CHECK(fleet.restarts[0].events == 30);
                CHECK(fleet.restarts[0].size == tokens(30 * 64));
                CHECK(fleet.restarts[0].reason == restart_reason::version_full);
                CHECK(fleet.restarts[0].waited >= 1500ms);
            }
        }
    }
    GIVEN("an item with 200 events") {
        for (int event = 0; event < 200; ++event) {
            fleet.now += event_interval;
            fleet.receive_event("x");
            fleet.receive_event("y");
        }
        fleet.add_engine("a-new", "v2", 4);
        fleet.set_leaving(lost);
        fleet.end_run("x");
        THEN("it waits no longer than the limit") {
            fleet.wait(2400ms, {"y"});
            CHECK(fleet.engine_of("x") == "none");
            fleet.wait(200ms, {"y"});
            CHECK(fleet.engine_of("x") == "a-new");
        }
    }
    GIVEN("an item with 2 events") {
        fleet.receive("x", 2);
        fleet.receive("y", 2);
        fleet.add_engine("a-new", "v2", 4);
        fleet.set_leaving(lost);
        fleet.end_run("x");
        THEN("it starts anew after the time of two events") {
            fleet.wait(200ms, {"y"});
            CHECK(fleet.engine_of("x") == "a-new");
            CHECK(fleet.resume_after("x") == 0);
        }
    }
    GIVEN("an item with 10 events, and an engine of its version that backs off for longer") {
        fleet.receive("x", 10);
        fleet.add_engine("a-new", "v2", 4);
        fleet.end_run("y");
        fleet.set_leaving(lost);
        fleet.end_run("x");
        THEN("it starts anew at once") {
            CHECK(fleet.engine_of("x") == "a-new");
            CHECK(fleet.resume_after("x") == 0);
            REQUIRE(fleet.restarts.size() == 1);
            CHECK(fleet.restarts[0].waited == 0ms);
        }
    }
    GIVEN("an item whose version has one engine left, on which each run breaks at once") {
        for (int event = 0; event < 60; ++event) {
            fleet.now += event_interval;
            fleet.receive_event("x");
            fleet.receive_event("y");
        }
        fleet.add_engine("a-new", "v2", 4);
        const std::string faulty = fleet.engine_of("y");
        fleet.complete("y");
        fleet.set_leaving(lost);
        fleet.end_run("x");
        const time_point since = fleet.now;
        while (fleet.engine_of("x") != "a-new" && fleet.now < since + 10s) {
            if (fleet.engine_of("x") == faulty) {
                fleet.end_run("x");
            }
            fleet.wait(event_interval);
        }
        THEN("it starts anew within the limit of the wait and one backoff") {
            CHECK(fleet.engine_of("x") == "a-new");
            CHECK(fleet.now - since <= 3s);
        }
    }
}

SCENARIO("an item whose software version is gone starts anew at once") {
    mixed_fleet fleet;
    fleet.add_engine("old-1", "v1");
    fleet.open_job("j", {{"x", 200}});
    GIVEN("an item that failed once, with 20 events") {
        fleet.end_run("x", run_failure::failed);
        fleet.wait(1s);
        fleet.receive("x", 20);
        WHEN("the last engine of its version leaves, and breaks its run") {
            fleet.add_engine("a-new", "v2", 4);
            fleet.set_leaving("old-1");
            fleet.end_run("x");
            THEN("it starts anew at once, and stays owed") {
                CHECK(fleet.engine_of("x") == "a-new");
                CHECK(fleet.resume_after("x") == 0);
                REQUIRE(fleet.restarts.size() == 1);
                CHECK(fleet.restarts[0].reason == restart_reason::version_gone);
                CHECK(fleet.given_up.empty());
                fleet.complete("x");
                CHECK(fleet.completed.count("x") == 1);
            }
        }
        WHEN("the last engine of its version declines it, and is removed") {
            fleet.add_engine("a-new", "v2", 4);
            fleet.end_run("x", run_failure::declined);
            REQUIRE(fleet.engine_of("x") == "none");
            fleet.remove_engine("old-1");
            THEN("it starts anew at once") {
                CHECK(fleet.engine_of("x") == "a-new");
                CHECK(fleet.resume_after("x") == 0);
            }
        }
        WHEN("its run breaks before an engine of another version is there") {
            fleet.set_leaving("old-1");
            fleet.end_run("x");
            REQUIRE(fleet.engine_of("x") == "none");
            THEN("its events are kept until it can start elsewhere") {
                fleet.wait(10s);
                CHECK(fleet.restarts.empty());
                AND_WHEN("an engine of its version comes back") {
                    fleet.add_engine("old-2", "v1");
                    CHECK(fleet.engine_of("x") == "old-2");
                    CHECK(fleet.resume_after("x") == 20);
                }
                AND_WHEN("an engine of another version comes") {
                    fleet.add_engine("a-new", "v2");
                    CHECK(fleet.engine_of("x") == "a-new");
                    CHECK(fleet.resume_after("x") == 0);
                }
            }
        }
    }
    GIVEN("an item whose events fit the next job, and an engine of its version that does not") {
        fleet.receive("x", 20);
        fleet.add_engine("old-2", "v1", 4, 1);
        fleet.end_run("x");
        REQUIRE(fleet.engine_of("x") == "old-2");
        fleet.dispatch(job_closed{job_id("j")});
        // The item's events are of weights that the next job takes; its engine's are older.
        fleet.add_engine("a-new", "v2", 4, 3);
        fleet.dispatch(run_progressed{fleet.latest_runs.at("x").run, 21, weight_version(2),
                                      weight_version(2)});
        fleet.texts["x"].push_back("v1");
        fleet.open_job("k", {{"x", 200}}, 2);
        fleet.end_run("x");
        THEN("it does not wait for engines without the weights") {
            CHECK(fleet.engine_of("x") == "a-new");
            CHECK(fleet.resume_after("x") == 0);
        }
    }
}

SCENARIO("a text is continued by its own service only, and starts anew with any weights") {
    mixed_fleet fleet;
    fleet.add_engine("e", "v1");
    job_opened job = fleet.make_job("j", {{"x", 200}});
    job.services.push_back(backend_name("other"));
    job.needs_single_version = true;
    fleet.dispatch(job);
    fleet.receive("x", 20);
    fleet.set_leaving("e");
    fleet.end_run("x");
    REQUIRE(fleet.engine_of("x") == "none");
    GIVEN("an engine of the job's other service whose version has the same name") {
        fleet.add_engine("f", "v1", 1, 1, "other");
        THEN("the item starts anew there") {
            CHECK(fleet.engine_of("x") == "f");
            CHECK(fleet.resume_after("x") == 0);
            REQUIRE(fleet.restarts.size() == 1);
            CHECK(fleet.restarts[0].reason == restart_reason::version_gone);
        }
    }
    GIVEN("an engine of another version with weights that could not continue the text") {
        fleet.add_engine("f", "v2", 1, 2);
        THEN("the item starts anew there") {
            CHECK(fleet.engine_of("x") == "f");
            CHECK(fleet.resume_after("x") == 0);
        }
    }
    GIVEN("an engine of its version with weights that could not continue the text") {
        fleet.add_engine("f", "v1", 1, 2);
        fleet.wait(5s);
        THEN("the item waits as it would if no engine stated a version") {
            CHECK(fleet.engine_of("x") == "none");
            CHECK(fleet.restarts.empty());
        }
    }
}

// Guards against events that are ascribed to the version that an engine announced last: a process
// of another version may have started under its identifier.
SCENARIO("an engine starts again under its identifier as another software version") {
    mixed_fleet fleet;
    fleet.add_engine("e", "v1");
    fleet.open_job("j", {{"x", 200}});
    GIVEN("a run with events on that engine") {
        fleet.receive("x", 10);
        fleet.add_engine("other", "v1");
        WHEN("it announces the other version, so that either may have sent the events") {
            fleet.processes["e"] = "v2";
            fleet.receive("x", 1);
            fleet.announce_restart("e");
            THEN("the item starts anew") {
                REQUIRE(fleet.is_running("x"));
                CHECK(fleet.resume_after("x") == 0);
                REQUIRE(fleet.restarts.size() == 1);
                CHECK(fleet.restarts[0].reason == restart_reason::version_unknown);
                fleet.receive("x", 5);
                CHECK(fleet.versions_in("x").size() == 1);
            }
        }
        WHEN("it starts again as the same version") {
            fleet.announce_restart("e");
            THEN("the item resumes") {
                CHECK(fleet.resume_after("x") == 10);
                CHECK(fleet.restarts.empty());
            }
        }
        WHEN("it is removed while the run goes on, and added as another version") {
            fleet.dispatch(engine_removed{target_id("e")});
            fleet.add_engine("e", "v2");
            THEN("the item starts anew") {
                REQUIRE(fleet.is_running("x"));
                CHECK(fleet.resume_after("x") == 0);
                fleet.receive("x", 5);
                CHECK(fleet.versions_in("x").size() == 1);
            }
        }
        // The text went on at the version that the engine had announced last.
        WHEN("an item begins on its new process, and goes on elsewhere before the announcement") {
            fleet.set_leaving("other");
            fleet.processes["e"] = "v2";
            fleet.complete("x");
            fleet.open_job("k", {{"y", 200}});
            REQUIRE(fleet.engine_of("y") == "e");
            fleet.receive("y", 3);
            fleet.add_engine("third", "v1");
            fleet.end_run("y");
            REQUIRE(fleet.engine_of("y") == "third");
            fleet.receive("y", 3);
            fleet.announce_restart("e");
            THEN("it starts anew") {
                CHECK(fleet.resume_after("y") == 0);
                CHECK(fleet.restarts.size() == 1);
                fleet.receive("y", 3);
                CHECK(fleet.versions_in("y").size() == 1);
            }
        }
        WHEN("the run breaks, and the item resumes on the engine before the announcement") {
            fleet.set_leaving("other");
            fleet.end_run("x");
            fleet.processes["e"] = "v2";
            fleet.wait(1s);
            REQUIRE(fleet.engine_of("x") == "e");
            REQUIRE(fleet.resume_after("x") == 10);
            fleet.receive("x", 3);
            AND_WHEN("the announcement arrives") {
                fleet.announce_restart("e");
                THEN("the item starts anew") {
                    CHECK(fleet.resume_after("x") == 0);
                    CHECK(fleet.restarts.size() == 1);
                }
            }
            AND_WHEN("the item has gone on elsewhere as the announcement arrives") {
                fleet.add_engine("third", "v1");
                fleet.end_run("x");
                REQUIRE(fleet.engine_of("x") == "third");
                fleet.receive("x", 3);
                fleet.announce_restart("e");
                THEN("it starts anew all the same") {
                    CHECK(fleet.resume_after("x") == 0);
                    fleet.receive("x", 3);
                    CHECK(fleet.versions_in("x").size() == 1);
                }
            }
        }
    }
    GIVEN("a run that has had no event there, of an item with events from elsewhere") {
        fleet.receive("x", 10);
        fleet.add_engine("f", "v1");
        fleet.set_leaving("e");
        fleet.end_run("x");
        REQUIRE(fleet.engine_of("x") == "f");
        fleet.add_engine("g", "v1");
        fleet.processes["f"] = "v2";
        fleet.announce_restart("f");
        THEN("its events are kept, and it resumes at their version") {
            CHECK(fleet.engine_of("x") == "g");
            CHECK(fleet.resume_after("x") == 10);
            CHECK(fleet.restarts.empty());
        }
    }
}

SCENARIO("an engine starts again as another software version before a run is sent") {
    mixed_fleet fleet;
    fleet.add_engine("e", "v1", 2);
    fleet.open_job("j", {{"x", 200}, {"y", 200}});
    GIVEN("a run that was started, and another one that breaks before the first is sent") {
        fleet.end_run("y");
        fleet.processes["e"] = "v2";
        fleet.dispatch(run_sent{fleet.latest_runs.at("x").run});
        fleet.receive("x", 3);
        WHEN("the item has gone on elsewhere as the engine announces its version") {
            fleet.add_engine("f", "v1", 2);
            fleet.end_run("x");
            REQUIRE(fleet.engine_of("x") == "f");
            fleet.receive("x", 3);
            fleet.announce_restart("e");
            THEN("the item starts anew") {
                CHECK(fleet.resume_after("x") == 0);
                CHECK(fleet.restarts.size() == 1);
            }
        }
    }
}

SCENARIO("a release goes back while items run") {
    mixed_fleet fleet;
    fleet.add_engine("old", "v1", 4);
    fleet.open_job("j", {{"x", 200}, {"y", 200}});
    fleet.receive("x", 20);
    fleet.receive("y", 20);
    GIVEN("engines of the newer version only, on which one item has started anew") {
        fleet.add_engine("new", "v2");
        fleet.set_leaving("old");
        fleet.end_run("x");
        fleet.end_run("y");
        const std::string moved = fleet.is_running("x") ? "x" : "y";
        const std::string waiting = moved == "x" ? "y" : "x";
        REQUIRE(fleet.engine_of(moved) == "new");
        REQUIRE(fleet.engine_of(waiting) == "none");
        fleet.receive(moved, 10);
        WHEN("the older version is back, and the newer one leaves") {
            fleet.add_engine("back", "v1", 4);
            fleet.set_leaving("new");
            fleet.end_run(moved);
            THEN("the waiting item resumes, and the other one starts anew once more") {
                CHECK(fleet.engine_of(waiting) == "back");
                CHECK(fleet.resume_after(waiting) == 20);
                CHECK(fleet.engine_of(moved) == "back");
                CHECK(fleet.resume_after(moved) == 0);
                fleet.receive(waiting, 1);
                fleet.receive(moved, 1);
                CHECK(fleet.versions_in(waiting).size() == 1);
                CHECK(fleet.versions_in(moved).size() == 1);
            }
        }
    }
}

SCENARIO("the events of an item that recurs in a later job keep their software version") {
    mixed_fleet fleet;
    fleet.add_engine("old-1", "v1");
    fleet.open_job("j", {{"x", 200}});
    fleet.receive("x", 20);
    fleet.dispatch(job_closed{job_id("j")});
    GIVEN("the next job, engines of two versions, and a broken run") {
        fleet.add_engine("a-new", "v2", 4);
        fleet.add_engine("old-2", "v1");
        fleet.open_job("k", {{"x", 200}});
        fleet.end_run("x");
        THEN("the item resumes at its version") {
            CHECK(fleet.engine_of("x") == "old-2");
            CHECK(fleet.resume_after("x") == 20);
        }
    }
}

namespace {

/// Breaks, silences, restarts and replaces engines at random until all items have ended.
class random_day {
public:
    random_day(std::uint64_t seed, std::vector<std::string> versions)
        : random(seed), versions(std::move(versions)) {}

    void run() {
        for (int i = 0; i < 8; ++i) {
            this->add_engine();
        }
        std::map<std::string, int> items;
        for (int i = 0; i < 60; ++i) {
            items["item" + std::to_string(i)] = 5 + this->below(60);
        }
        this->fleet.open_job("j", items);
        while (this->fleet.completed.size() + this->fleet.given_up.size() < items.size() &&
               this->fleet.now < time_point(200s)) {
            this->step(items);
        }
    }

    mixed_fleet fleet;
    /// Each start of a run.
    std::vector<std::string> starts;

private:
    int below(int bound) { return static_cast<int>(this->random() % static_cast<unsigned>(bound)); }
    std::string any_version() {
        return this->versions[static_cast<std::size_t>(
            this->below(static_cast<int>(this->versions.size())))];
    }
    void add_engine() {
        this->fleet.add_engine("e" + std::to_string(++this->last_engine), this->any_version(), 4);
    }
    void step(const std::map<std::string, int>& items) {
        this->fleet.now += event_interval;
        for (const auto& [item, events] : items) {
            if (!this->fleet.is_running(item)) {
                continue;
            }
            const int outcome = this->below(400);
            if (outcome < 8) {
                this->fleet.end_run(item,
                                    outcome < 2 ? run_failure::declined : run_failure::broken);
            } else if (outcome > 30) {
                this->fleet.receive_event(item);
            }
            if (this->fleet.is_running(item) &&
                this->fleet.texts.at(item).size() >= static_cast<std::size_t>(events)) {
                CHECK(this->fleet.versions_in(item).size() == 1);
                this->fleet.complete(item);
            }
        }
        if (this->below(20) == 0) {
            this->disturb();
        }
        if (const auto next = this->fleet.scheduler.next_wakeup();
            next && *next <= this->fleet.now) {
            this->fleet.dispatch(timer_expired{});
        }
        for (const auto& [item, run] : this->fleet.latest_runs) {
            if (this->seen.insert(run.run).second) {
                this->starts.push_back(item + " " + run.engine.value() + " " +
                                       std::to_string(run.resume_after));
            }
        }
    }
    void disturb() {
        auto position = this->fleet.engines.begin();
        std::advance(position, this->below(static_cast<int>(this->fleet.engines.size())));
        const std::string id = position->first;
        const std::string version = this->any_version();
        if (this->below(2) == 0) {
            this->fleet.processes[id] = version;
            this->fleet.announce_restart(id);
            return;
        }
        this->fleet.set_leaving(id);
        for (const auto& [item, run] : this->fleet.latest_runs) {
            if (run.engine.value() == id && this->fleet.is_running(item)) {
                this->fleet.end_run(item);
            }
        }
        this->fleet.remove_engine(id);
        this->add_engine();
    }

    std::mt19937_64 random;
    std::vector<std::string> versions;
    int last_engine = 0;
    std::set<run_id> seen;
};

} // namespace

SCENARIO("no text holds two software versions on days of random disturbances") {
    constexpr std::uint64_t seeds = 40;
    GIVEN("engines of three versions") {
        THEN("each item completes, with a text of one version") {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                CAPTURE(seed);
                random_day day(seed, {"v1", "v2", "v3"});
                day.run();
                CHECK(day.fleet.completed.size() == 60);
            }
        }
    }
    GIVEN("engines of one version") {
        THEN("no item starts anew for a version, and runs start as where none is stated") {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                CAPTURE(seed);
                random_day day(seed, {"v1"});
                day.run();
                CHECK(day.fleet.completed.size() == 60);
                CHECK(day.fleet.restarts.empty());
                random_day unstated(seed, {""});
                unstated.run();
                CHECK(day.starts == unstated.starts);
            }
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

SCENARIO("items that wait for their software version cost the scheduler little") {
    mixed_fleet fleet;
    GIVEN("122 engines of two versions, and hundreds of items that wait for the full ones") {
        for (int i = 0; i < 61; ++i) {
            fleet.add_engine("old" + std::to_string(i), "v1", 8);
        }
        std::map<std::string, int> items;
        for (int i = 0; i < 488; ++i) {
            items["item" + std::to_string(i)] = 200;
        }
        fleet.open_job("j", items);
        REQUIRE(fleet.running.size() == 488);
        for (int event = 0; event < 60; ++event) {
            fleet.now += event_interval;
            for (const auto& [item, events] : items) {
                fleet.receive_event(item);
            }
        }
        for (int i = 0; i < 61; ++i) {
            fleet.add_engine("new" + std::to_string(i), "v2", 8);
        }
        for (int i = 1; i < 61; ++i) {
            fleet.set_leaving("old" + std::to_string(i));
        }
        std::vector<std::string> lively;
        for (const auto& [item, events] : items) {
            if (fleet.engine_of(item) == "old0") {
                lively.push_back(item);
            } else {
                fleet.end_run(item);
            }
        }
        REQUIRE(fleet.scheduler.waiting_count() == 480);
        THEN("a message takes a tenth of its share of 0.3 cores at 100 ends of runs per second") {
            constexpr int rounds = 200;
            constexpr auto allowed = std::chrono::microseconds(300);
            const auto started_at = processor_time();
            for (int round = 0; round < rounds; ++round) {
                fleet.dispatch(timer_expired{});
            }
            CHECK((processor_time() - started_at) / rounds < allowed);
            CHECK(fleet.scheduler.waiting_count() == 480);
        }
    }
}
