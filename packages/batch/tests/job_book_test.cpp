#include "batch/job_book.h"

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
    job made;
    made.id = job_id(id);
    made.oldest_version = weight_version(oldest);
    made.submitted = wall_time(1000s);
    for (const std::string& item : items) {
        job_item one;
        one.id = item_id(item);
        one.body = "body of " + item;
        made.items.push_back(one);
    }
    return made;
}

item_result make_result(const std::string& item, const std::string& text, std::uint64_t version) {
    return {item_id(item), true, text, {weight_version(version)}};
}

/// Loads what a snapshot of the one holds into the other, a result a part.
void copy(const job_book& from, job_book& to) {
    for (const auto& [id, record] : from.jobs()) {
        std::size_t next = 0;
        do {
            to.load(job_book::save(record, next, 1));
            ++next;
        } while (next < record.results.size());
    }
}

} // namespace

SCENARIO("a job is accepted once and its results keep their positions") {
    job_book book;
    GIVEN("a job with three items") {
        REQUIRE(book.apply(submit_job{make_job("j", {"a", "b", "c"}), 2min}) ==
                command_result::done);
        WHEN("it is submitted again") {
            CHECK(book.apply(submit_job{make_job("j", {"a", "b", "c"}), 2min}) ==
                  command_result::repeated);
            THEN("there is still one") {
                CHECK(book.jobs().size() == 1);
            }
        }
        WHEN("results come, one of them twice and another one with other text") {
            book.apply(list_results{job_id("j"), {make_result("b", "first", 2)}});
            book.apply(list_results{job_id("j"),
                                    {make_result("b", "second", 2), make_result("a", "x", 2)}});
            book.apply(list_results{job_id("j"), {make_result("stranger", "y", 2)}});
            THEN("each item has one position and its first result") {
                const job_record& record = *book.find(job_id("j"));
                REQUIRE(record.results.size() == 2);
                CHECK(record.results[0] == make_result("b", "first", 2));
                CHECK(record.results[1].item == item_id("a"));
                CHECK_FALSE(record.is_complete());
            }
            AND_THEN("a snapshot gives the same book") {
                job_book other;
                copy(book, other);
                CHECK(other.find(job_id("j"))->results == book.find(job_id("j"))->results);
                CHECK(other.find(job_id("j"))->find_item(item_id("c"))->body == "body of c");
                CHECK(other.find(job_id("j"))->is_listed(item_id("a")));
            }
        }
        WHEN("it is ended, and ended again") {
            CHECK(book.apply(end_job{job_id("j")}) == command_result::done);
            CHECK(book.apply(end_job{job_id("j")}) == command_result::repeated);
            THEN("it is kept for its retention, and forgotten later") {
                job next = make_job("k", {"z"});
                next.submitted += 1min;
                book.apply(submit_job{next, 2min});
                CHECK(book.find(job_id("j")) != nullptr);
                next.id = job_id("l");
                next.submitted += 5min;
                book.apply(submit_job{next, 2min});
                CHECK(book.find(job_id("j")) == nullptr);
            }
        }
        WHEN("an unknown job is named") {
            THEN("that is said") {
                CHECK(book.apply(end_job{job_id("none")}) == command_result::no_such_job);
                CHECK(book.apply(list_results{job_id("none"), {}}) == command_result::no_such_job);
            }
        }
    }
    GIVEN("a group that was carried over from an earlier job") {
        book.apply(submit_job{make_job("j", {"a", "b"}), 2min});
        book.apply(
            list_results{job_id("j"), {make_result("a", "old", 2), make_result("b", "new", 3)}});
        book.apply(end_job{job_id("j")});
        WHEN("the next job asks for the same items from version 3 on") {
            book.apply(submit_job{make_job("k", {"a", "b", "c"}, 3), 2min});
            THEN("what is fresh enough is listed at once") {
                const job_record& record = *book.find(job_id("k"));
                REQUIRE(record.results.size() == 1);
                CHECK(record.results[0] == make_result("b", "new", 3));
            }
        }
    }
}

namespace {

/// Commands of a trainer whose items come again in later jobs, by seed.
class command_stream {
public:
    explicit command_stream(std::uint64_t seed) : random(seed) {}

    command next() {
        this->now += std::chrono::seconds(this->random() % 20);
        switch (this->random() % 4) {
        case 0: {
            job made = make_job("job" + std::to_string(this->random() % 12), {});
            made.submitted = this->now;
            made.oldest_version = weight_version(this->random() % 4);
            for (int i = 0; i < 3; ++i) {
                made.items.push_back(this->some_item());
            }
            return submit_job{made, std::chrono::minutes(1 + this->random() % 3)};
        }
        case 1:
            return end_job{this->some_job()};
        default: {
            const std::string text = std::to_string(this->random());
            return list_results{
                this->some_job(),
                {make_result(this->some_item().id.value(), text.c_str(), this->random() % 5)}};
        }
        }
    }

    std::mt19937_64 random;

private:
    job_id some_job() { return job_id("job" + std::to_string(this->random() % 12)); }
    job_item some_item() {
        job_item made;
        made.id = item_id("item" + std::to_string(this->random() % 10));
        return made;
    }

    wall_time now{std::chrono::hours(1000)};
};

bool is_same(const job_book& a, const job_book& b) {
    return std::equal(a.jobs().begin(), a.jobs().end(), b.jobs().begin(), b.jobs().end(),
                      [](const auto& one, const auto& other) {
                          return one.first == other.first &&
                                 one.second.results == other.second.results &&
                                 one.second.is_ended == other.second.is_ended &&
                                 one.second.keep_until == other.second.keep_until;
                      });
}

} // namespace

SCENARIO("a store that was restored lists the same results in the same positions") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        command_stream commands(seed);
        job_book whole;
        job_book restored;
        std::map<job_id, std::vector<item_result>> listed;
        for (int step = 0; step < 300; ++step) {
            const command next = commands.next();
            CHECK(whole.apply(next) == restored.apply(next));
            if (commands.random() % 10 == 0) {
                job_book fresh;
                copy(restored, fresh);
                restored = std::move(fresh);
            }
            REQUIRE(is_same(whole, restored));
            for (const auto& [id, record] : whole.jobs()) {
                auto& known = listed[id];
                if (const auto* submitted = std::get_if<submit_job>(&next);
                    submitted != nullptr && submitted->content.id == id &&
                    record.content.submitted == submitted->content.submitted) {
                    // Forgotten meanwhile, and submitted anew.
                    known.clear();
                }
                REQUIRE(record.results.size() >= known.size());
                CHECK(std::equal(known.begin(), known.end(), record.results.begin()));
                known = record.results;
            }
        }
    }
}
