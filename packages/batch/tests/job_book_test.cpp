#include "batch/job_book.h"

#include <doctest/doctest.h>

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
                other.load(book.save());
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
