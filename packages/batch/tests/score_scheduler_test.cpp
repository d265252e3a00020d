#include "batch/score_scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using std::chrono::milliseconds;

namespace {

constexpr time_point start{std::chrono::seconds(1000)};

std::vector<std::string> requested_items(const score_actions& actions) {
    std::vector<std::string> items;
    for (const score_action& action : actions) {
        if (const auto* request = std::get_if<request_score>(&action)) {
            items.push_back(request->item.value());
        }
    }
    return items;
}

text_completed text_of(const std::string& item, item_rank rank = item_rank::required,
                       std::size_t max_failures = 3) {
    return {job_id("j"), item_id(item), rank, max_failures};
}

} // namespace

SCENARIO("scores are requested for complete texts") {
    GIVEN("a scheduler that allows two requests at once") {
        score_limits limits;
        limits.initial_concurrency = 2;
        limits.max_concurrency = 2;
        score_scheduler scheduler(limits);
        REQUIRE(requested_items(scheduler.handle(text_of("a"), start)).size() == 1);
        REQUIRE(requested_items(scheduler.handle(text_of("b"), start)).size() == 1);

        WHEN("more texts complete, a spare one first") {
            CHECK(scheduler.handle(text_of("spare", item_rank::spare), start).empty());
            CHECK(scheduler.handle(text_of("required"), start).empty());
            THEN("the next request is for the item that the trainer waits for") {
                const auto actions =
                    scheduler.handle(score_received{item_id("a")}, start + milliseconds(30));
                CHECK(requested_items(actions) == std::vector<std::string>{"required"});
            }
        }

        WHEN("the service responds with an error as often as allowed") {
            time_point now = start;
            score_actions actions;
            for (int i = 0; i < 3; ++i) {
                actions = scheduler.handle(score_failed{item_id("a"), score_failure::failed}, now);
                if (const auto next = scheduler.next_wakeup()) {
                    now = *next;
                    CHECK(requested_items(scheduler.handle(timer_expired{}, now)).size() == 1);
                }
            }
            THEN("the item is given up") {
                REQUIRE(actions.size() == 1);
                CHECK(std::holds_alternative<score_given_up>(actions[0]));
                CHECK(scheduler.pending_count() == 1);
            }
        }

        WHEN("responses are lost many times") {
            time_point now = start;
            bool is_given_up = false;
            duration longest{};
            for (int i = 0; i < 20; ++i) {
                const score_actions actions =
                    scheduler.handle(score_failed{item_id("a"), score_failure::unanswered}, now);
                is_given_up |= std::any_of(actions.begin(), actions.end(), [](const auto& action) {
                    return std::holds_alternative<score_given_up>(action);
                });
                longest = std::max(longest, *scheduler.next_wakeup() - now);
                now = *scheduler.next_wakeup();
                CHECK(scheduler.handle(score_received{item_id("b")}, now).empty());
                REQUIRE(requested_items(scheduler.handle(timer_expired{}, now)).size() == 1);
            }
            THEN("the request is repeated with a bounded delay, and the item is not given up") {
                CHECK_FALSE(is_given_up);
                CHECK(longest == limits.max_retry_delay);
            }
        }

        WHEN("the job ends") {
            CHECK(scheduler.handle(text_of("c"), start).empty());
            CHECK(scheduler.handle(job_closed{job_id("j")}, start).empty());
            THEN("no further request is sent for its items") {
                CHECK(scheduler.handle(score_received{item_id("a")}, start).empty());
                CHECK(scheduler.handle(score_failed{item_id("b"), score_failure::unanswered}, start)
                          .empty());
                CHECK_FALSE(scheduler.next_wakeup());
                CHECK(scheduler.pending_count() == 0);
            }
        }
    }
}

SCENARIO("a wave of texts does not overload the grading service") {
    // The service runs `slots` requests at once, 30 ms each; further requests queue there.
    GIVEN("a service with few slots, which callers use as well") {
        constexpr int slots = 6;
        constexpr int wave = 400;
        score_scheduler scheduler;
        std::multimap<time_point, std::string> responses;
        std::vector<time_point> slot_free(slots, start);
        std::size_t most = 0;
        std::size_t most_late = 0;
        time_point now = start;
        const auto send = [&](const score_actions& actions) {
            for (const std::string& item : requested_items(actions)) {
                auto slot = std::min_element(slot_free.begin(), slot_free.end());
                *slot = std::max(*slot, now) + milliseconds(30);
                responses.emplace(*slot, item);
            }
            most = std::max(most, scheduler.requests_in_progress());
            if (now > start + std::chrono::seconds(1)) {
                most_late = std::max(most_late, scheduler.requests_in_progress());
            }
        };
        WHEN("the items of a step complete at the same time") {
            for (int i = 0; i < wave; ++i) {
                send(scheduler.handle(text_of("i" + std::to_string(i)), now));
            }
            while (!responses.empty()) {
                const auto [due, item] = *responses.begin();
                responses.erase(responses.begin());
                now = due;
                send(scheduler.handle(score_received{item_id(item)}, now));
            }
            THEN("all are scored, at the service's pace") {
                CHECK(scheduler.pending_count() == 0);
                CHECK(now - start < milliseconds(30) * (wave / slots) * 5 / 4);
            }
            THEN("few requests wait at the service") {
                CHECK(most <= 4 * slots);
                CHECK(most_late <= 3 * slots);
            }
        }
        WHEN("many targets at different distances answer at once") {
            // Every other response takes three times as long, without any queueing.
            for (int i = 0; i < wave; ++i) {
                const auto actions = scheduler.handle(text_of("i" + std::to_string(i)), now);
                for (const std::string& item : requested_items(actions)) {
                    responses.emplace(now + milliseconds(60), item);
                }
            }
            int sent = 0;
            while (!responses.empty()) {
                const auto [due, item] = *responses.begin();
                responses.erase(responses.begin());
                now = due;
                for (const std::string& next :
                     requested_items(scheduler.handle(score_received{item_id(item)}, now))) {
                    responses.emplace(now + milliseconds(++sent % 2 == 0 ? 60 : 180), next);
                }
            }
            THEN("the differences are not taken for queueing") {
                CHECK(scheduler.concurrency() >= 16);
                CHECK(now - start < std::chrono::seconds(4));
            }
        }
        WHEN("the service loses every request") {
            for (int i = 0; i < wave; ++i) {
                send(scheduler.handle(text_of("i" + std::to_string(i)), now));
            }
            for (int i = 0; i < 1000; ++i) {
                now += milliseconds(20);
                std::set<std::string> lost;
                for (const auto& [due, item] : responses) {
                    lost.insert(item);
                }
                responses.clear();
                for (const std::string& item : lost) {
                    send(scheduler.handle(score_failed{item_id(item), score_failure::unanswered},
                                          now));
                }
                send(scheduler.handle(timer_expired{}, now));
            }
            THEN("single requests probe it") {
                CHECK(scheduler.concurrency() == 1);
                CHECK(scheduler.requests_in_progress() <= 1);
            }
        }
    }
}
