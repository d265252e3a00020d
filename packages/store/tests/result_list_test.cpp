#include "store/internal/result_list.h"

#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::store;

namespace {

batch::item_result result_of(const std::string& item, std::size_t size = 1) {
    batch::item_result made;
    made.item = item_id(item);
    made.is_completed = true;
    made.text = std::string(size, 'x');
    return made;
}

} // namespace

SCENARIO("results that end together are agreed together") {
    task::event_loop loop;
    loop.enter();
    std::vector<batch::list_results> submitted;
    {
        result_list results([&](const batch::list_results& one) { submitted.push_back(one); });
        GIVEN("results of two jobs in one turn of the loop") {
            results.add(job_id("a"), result_of("1"));
            results.add(job_id("b"), result_of("2"));
            results.add(job_id("a"), result_of("3"));
            CHECK(submitted.empty());
            WHEN("the turn is over") {
                g_main_context_iteration(loop.context(), FALSE);
                THEN("there is one command a job, in the order of the results") {
                    REQUIRE(submitted.size() == 2);
                    REQUIRE(submitted[0].results.size() == 2);
                    CHECK(submitted[0].results[0].item == item_id("1"));
                    CHECK(submitted[0].results[1].item == item_id("3"));
                    CHECK(submitted[1].job == job_id("b"));
                }
                AND_WHEN("another ends") {
                    results.add(job_id("a"), result_of("4"));
                    g_main_context_iteration(loop.context(), FALSE);
                    THEN("it goes alone") {
                        CHECK(submitted.size() == 3);
                        CHECK(submitted.back().results.size() == 1);
                    }
                }
            }
        }
        GIVEN("more text than one command carries") {
            results.add(job_id("a"), result_of("1", result_list::command_bytes));
            results.add(job_id("a"), result_of("2"));
            g_main_context_iteration(loop.context(), FALSE);
            THEN("the rest follows in another") {
                REQUIRE(submitted.size() == 2);
                CHECK(submitted[0].results.size() == 1);
                CHECK(submitted[1].results.size() == 1);
            }
        }
    }
    loop.leave();
}
