#include "store/internal/result_buffer.h"

#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::store;

namespace {

batch::item_result result_of(const std::string& item, std::size_t size = 1) {
    batch::item_result result;
    result.item = item_id(item);
    result.is_completed = true;
    result.text = std::string(size, 'x');
    return result;
}

} // namespace

SCENARIO("results of one event loop iteration are submitted together") {
    task::event_loop loop;
    loop.enter();
    std::vector<batch::append_results> submitted;
    {
        result_buffer buffer(
            [&](const batch::append_results& command) { submitted.push_back(command); });
        GIVEN("results of two jobs in one event loop iteration") {
            buffer.add(job_id("a"), result_of("1"));
            buffer.add(job_id("b"), result_of("2"));
            buffer.add(job_id("a"), result_of("3"));
            CHECK(submitted.empty());
            WHEN("the iteration ends") {
                g_main_context_iteration(loop.context(), FALSE);
                THEN("one command per job is submitted, with its results in order") {
                    REQUIRE(submitted.size() == 2);
                    REQUIRE(submitted[0].results.size() == 2);
                    CHECK(submitted[0].results[0].item == item_id("1"));
                    CHECK(submitted[0].results[1].item == item_id("3"));
                    CHECK(submitted[1].job == job_id("b"));
                }
                AND_WHEN("another result is added in the next iteration") {
                    buffer.add(job_id("a"), result_of("4"));
                    g_main_context_iteration(loop.context(), FALSE);
                    THEN("it is submitted in a command of its own") {
                        CHECK(submitted.size() == 3);
                        CHECK(submitted.back().results.size() == 1);
                    }
                }
            }
        }
        GIVEN("a result that reaches the size limit of a command") {
            buffer.add(job_id("a"), result_of("1", result_buffer::max_command_bytes));
            buffer.add(job_id("a"), result_of("2"));
            g_main_context_iteration(loop.context(), FALSE);
            THEN("the next result is submitted in another command") {
                REQUIRE(submitted.size() == 2);
                CHECK(submitted[0].results.size() == 1);
                CHECK(submitted[1].results.size() == 1);
            }
        }
    }
    loop.leave();
}
