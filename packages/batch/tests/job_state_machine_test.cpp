#include "batch/job_state_machine.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

namespace {

job make_job(const std::string& id, const std::vector<std::string>& items,
             std::uint64_t oldest = 1) {
    job created;
    created.id = job_id(id);
    created.oldest_version = weight_version(oldest);
    created.submitted = wall_time(1000s);
    for (const std::string& item : items) {
        job_item added;
        added.id = item_id(item);
        added.body = "body of " + item;
        created.items.push_back(added);
    }
    return created;
}

item_result make_result(const std::string& item, const std::string& text, std::uint64_t version) {
    return {item_id(item), true, text, {weight_version(version)}, ""};
}

/// Copies the state through a snapshot with one result in each piece.
void copy_by_snapshot(const job_state_machine& from, job_state_machine& to) {
    for (const auto& [id, record] : from.jobs()) {
        std::size_t next = 0;
        do {
            to.load(job_state_machine::save(record, next, 1));
            ++next;
        } while (next < record.results.size());
    }
}

} // namespace

SCENARIO("a job is accepted once and its results keep their positions") {
    job_state_machine state_machine;
    GIVEN("a job with three items") {
        REQUIRE(state_machine.apply(submit_job{make_job("j", {"a", "b", "c"}), 2min}) ==
                command_result::done);
        WHEN("the job is submitted again") {
            CHECK(state_machine.apply(submit_job{make_job("j", {"a", "b", "c"}), 2min}) ==
                  command_result::repeated);
            THEN("there is still one job") {
                CHECK(state_machine.jobs().size() == 1);
            }
        }
        WHEN("results arrive, one of them twice with different texts and one for an unknown item") {
            state_machine.apply(append_results{job_id("j"), {make_result("b", "first", 2)}});
            state_machine.apply(append_results{
                job_id("j"), {make_result("b", "second", 2), make_result("a", "x", 2)}});
            state_machine.apply(append_results{job_id("j"), {make_result("stranger", "y", 2)}});
            THEN("each item of the job has one position, with its first result") {
                const job_record& record = *state_machine.find(job_id("j"));
                REQUIRE(record.results.size() == 2);
                CHECK(record.results[0] == make_result("b", "first", 2));
                CHECK(record.results[1].item == item_id("a"));
                CHECK_FALSE(record.is_complete());
            }
            AND_THEN("a snapshot restores the same state") {
                job_state_machine other;
                copy_by_snapshot(state_machine, other);
                CHECK(other.find(job_id("j"))->results == state_machine.find(job_id("j"))->results);
                CHECK(other.find(job_id("j"))->find_item(item_id("c"))->body == "body of c");
                CHECK(other.find(job_id("j"))->has_result(item_id("a")));
            }
        }
        WHEN("the job is ended twice") {
            CHECK(state_machine.apply(end_job{job_id("j")}) == command_result::done);
            CHECK(state_machine.apply(end_job{job_id("j")}) == command_result::repeated);
            THEN("it is retained for its retention time and erased later") {
                job next = make_job("k", {"z"});
                next.submitted += 1min;
                state_machine.apply(submit_job{next, 2min});
                CHECK(state_machine.find(job_id("j")) != nullptr);
                next.id = job_id("l");
                next.submitted += 5min;
                state_machine.apply(submit_job{next, 2min});
                CHECK(state_machine.find(job_id("j")) == nullptr);
            }
        }
        WHEN("a command names an unknown job") {
            THEN("the command fails because there is no such job") {
                CHECK(state_machine.apply(end_job{job_id("none")}) == command_result::no_such_job);
                CHECK(state_machine.apply(append_results{job_id("none"), {}}) ==
                      command_result::no_such_job);
            }
        }
    }
    GIVEN("an ended job with results of different weights") {
        state_machine.apply(submit_job{make_job("j", {"a", "b"}), 2min});
        state_machine.apply(
            append_results{job_id("j"), {make_result("a", "old", 2), make_result("b", "new", 3)}});
        state_machine.apply(end_job{job_id("j")});
        WHEN("the next job requires the same items from version 3 or newer") {
            state_machine.apply(submit_job{make_job("k", {"a", "b", "c"}, 3), 2min});
            THEN("the results that are new enough are reused at once") {
                const job_record& record = *state_machine.find(job_id("k"));
                REQUIRE(record.results.size() == 1);
                CHECK(record.results[0] == make_result("b", "new", 3));
            }
        }
    }
}

namespace {

SCENARIO("a score is reused together with its text") {
    GIVEN("an ended job with a scored result") {
        const score_request scorer{"score-a", "shop", "/grade/a", "body"};
        job first = make_job("first", {"a"});
        first.items[0].scorer = scorer;
        job_state_machine machine;
        machine.apply(submit_job{first, std::chrono::minutes(2)});
        item_result scored = make_result("a", "text", 1);
        scored.score = "signature";
        machine.apply(append_results{job_id("first"), {scored}});
        machine.apply(end_job{job_id("first")});
        WHEN("the item recurs with the same scorer") {
            job second = make_job("second", {"a"});
            second.items[0].scorer = scorer;
            machine.apply(submit_job{second, std::chrono::minutes(2)});
            THEN("the new job has its text and its score at once") {
                CHECK(machine.find(job_id("second"))->results == std::vector{scored});
            }
        }
        WHEN("the item recurs with another scorer") {
            job second = make_job("second", {"a"});
            second.items[0].scorer = scorer;
            second.items[0].scorer->name = "score-b";
            machine.apply(submit_job{second, std::chrono::minutes(2)});
            THEN("the earlier score is not taken for that of the other request") {
                CHECK(machine.find(job_id("second"))->results.empty());
            }
        }
    }
}

/// Random commands of a trainer whose items recur in later jobs, reproducible by seed.
class command_stream {
public:
    explicit command_stream(std::uint64_t seed) : random(seed) {}

    command next() {
        this->now += std::chrono::seconds(this->random() % 20);
        switch (this->random() % 4) {
        case 0: {
            job created = make_job("job" + std::to_string(this->random() % 12), {});
            created.submitted = this->now;
            created.oldest_version = weight_version(this->random() % 4);
            for (int i = 0; i < 3; ++i) {
                created.items.push_back(this->random_item());
            }
            return submit_job{created, std::chrono::minutes(1 + this->random() % 3)};
        }
        case 1:
            return end_job{this->random_job()};
        default: {
            const std::string text = std::to_string(this->random());
            return append_results{
                this->random_job(),
                {make_result(this->random_item().id.value(), text.c_str(), this->random() % 5)}};
        }
        }
    }

    std::mt19937_64 random;

private:
    job_id random_job() { return job_id("job" + std::to_string(this->random() % 12)); }
    job_item random_item() {
        job_item created;
        created.id = item_id("item" + std::to_string(this->random() % 10));
        return created;
    }

    wall_time now{std::chrono::hours(1000)};
};

bool is_same(const job_state_machine& a, const job_state_machine& b) {
    return std::equal(a.jobs().begin(), a.jobs().end(), b.jobs().begin(), b.jobs().end(),
                      [](const auto& left, const auto& right) {
                          return left.first == right.first &&
                                 left.second.results == right.second.results &&
                                 left.second.is_ended == right.second.is_ended &&
                                 left.second.retained_until == right.second.retained_until;
                      });
}

} // namespace

SCENARIO("a store restored from a snapshot has the same results in the same positions") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        command_stream commands(seed);
        job_state_machine original;
        job_state_machine restored;
        std::map<job_id, std::vector<item_result>> earlier_results;
        for (int step = 0; step < 300; ++step) {
            const command next = commands.next();
            CHECK(original.apply(next) == restored.apply(next));
            if (commands.random() % 10 == 0) {
                job_state_machine fresh;
                copy_by_snapshot(restored, fresh);
                restored = std::move(fresh);
            }
            REQUIRE(is_same(original, restored));
            for (const auto& [id, record] : original.jobs()) {
                auto& earlier = earlier_results[id];
                if (const auto* submitted = std::get_if<submit_job>(&next);
                    submitted != nullptr && submitted->content.id == id &&
                    record.content.submitted == submitted->content.submitted) {
                    // The job was erased meanwhile and is submitted again.
                    earlier.clear();
                }
                REQUIRE(record.results.size() >= earlier.size());
                CHECK(std::equal(earlier.begin(), earlier.end(), record.results.begin()));
                earlier = record.results;
            }
        }
    }
}

// Guards against results and bodies that reach another account.
SCENARIO("a job belongs to its account") {
    job_state_machine state_machine;
    job owned = make_job("j", {"a"});
    owned.account = account_name("north");
    state_machine.apply(submit_job{owned, 2min});
    const auto is_visible_to = [&](const char* caller) {
        return state_machine.find(job_id("j"))->is_visible_to(account_name(caller));
    };
    THEN("calls of that account reach it, those of another one do not") {
        CHECK(is_visible_to("north"));
        CHECK_FALSE(is_visible_to("east"));
    }
    WHEN("the configuration has no accounts any more") {
        THEN("every caller reaches it") {
            CHECK(is_visible_to(""));
        }
    }
    WHEN("a snapshot is restored") {
        job_state_machine other;
        copy_by_snapshot(state_machine, other);
        THEN("the job keeps its account") {
            CHECK(other.find(job_id("j"))->content.account == account_name("north"));
        }
    }
    WHEN("another account submits a job with the same item") {
        state_machine.apply(append_results{job_id("j"), {make_result("a", "text", 2)}});
        job other = make_job("k", {"a"});
        other.account = account_name("east");
        state_machine.apply(submit_job{other, 2min});
        THEN("it does not get the result") {
            CHECK(state_machine.find(job_id("k"))->results.empty());
        }
        AND_WHEN("the first account submits it too") {
            job again = make_job("l", {"a"});
            again.account = account_name("north");
            state_machine.apply(append_results{job_id("k"), {make_result("a", "other", 3)}});
            state_machine.apply(submit_job{again, 2min});
            THEN("it gets its own result") {
                REQUIRE(state_machine.find(job_id("l"))->results.size() == 1);
                CHECK(state_machine.find(job_id("l"))->results[0].text == "text");
            }
        }
    }
}
