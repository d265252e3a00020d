#include "store/internal/remote_runs.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::store;

namespace {

const instance_id worker("127.0.0.2:7000");

wire::run_item_request request_of(std::uint64_t run) {
    wire::run_item_request request;
    request.run = batch::run_id(run);
    request.item.id = item_id("i" + std::to_string(run));
    return request;
}

wire::item_run_updates update_of(std::uint64_t run, wire::item_run_status status,
                                 std::uint64_t last_event, const std::string& text) {
    return {{{batch::run_id(run), status, last_event, text, {weight_version(3)}}}};
}

} // namespace

SCENARIO("a leading store has runs carried out by another store") {
    std::vector<wire::message> sent;
    std::vector<batch::scheduler_message> notified;
    bool is_link_open = true;
    std::optional<remote_runs> runs;
    runs.emplace(remote_runs::parameters{
        0,
        [&](const instance_id& to, const wire::message& message) {
            CHECK(to == worker);
            sent.push_back(message);
            return is_link_open;
        },
        [&](const batch::scheduler_message& message) { notified.push_back(message); }});
    runs->worker_connected(worker, {});
    partial_text text;

    GIVEN("a run that was sent to the other store") {
        REQUIRE(runs->start(request_of(1), {}, text));
        REQUIRE(sent.size() == 1);
        WHEN("its events arrive in two updates") {
            runs->handle(worker, update_of(1, wire::item_run_status::running, 2, "a\nb"));
            runs->handle(worker, update_of(1, wire::item_run_status::completed, 3, "\nc"));
            THEN("the text is complete, and the scheduler is notified of progress and end") {
                CHECK(text.text == "a\nb\nc");
                CHECK(text.last_event == 3);
                REQUIRE(notified.size() == 3);
                CHECK(std::get<batch::run_progressed>(notified[0]).last_event == 2);
                CHECK(std::get<batch::run_progressed>(notified[1]).last_event == 3);
                CHECK(std::holds_alternative<batch::run_completed>(notified[2]));
            }
        }
        WHEN("an update does not continue the text") {
            runs->handle(worker, update_of(1, wire::item_run_status::running, 2, "a\nb"));
            runs->handle(worker, update_of(1, wire::item_run_status::running, 1, "a"));
            THEN("the run ends as broken, and its text is unchanged") {
                CHECK(text.text == "a\nb");
                const auto& failed = std::get<batch::run_failed>(notified.back());
                CHECK(failed.failure == batch::run_failure::broken);
            }
        }
        WHEN("the link to the store is lost") {
            runs->worker_lost(worker);
            THEN("the run ends as broken, and later updates change nothing") {
                REQUIRE(notified.size() == 1);
                CHECK(std::holds_alternative<batch::run_failed>(notified[0]));
                runs->handle(worker, update_of(1, wire::item_run_status::completed, 1, "a"));
                CHECK(notified.size() == 1);
                CHECK(text.text.empty());
            }
        }
        WHEN("the run is cancelled") {
            runs->cancel(batch::run_id(1));
            THEN("the other store is told, and later updates change nothing") {
                CHECK(std::get<wire::cancel_item_run>(sent.back()).run == batch::run_id(1));
                runs->handle(worker, update_of(1, wire::item_run_status::running, 1, "a"));
                CHECK(notified.empty());
            }
        }
        WHEN("this store leads no longer") {
            runs.reset();
            THEN("the run is cancelled") {
                CHECK(std::get<wire::cancel_item_run>(sent.back()).run == batch::run_id(1));
            }
        }
        WHEN("an update names a run of another store") {
            runs->handle(instance_id("127.0.0.9:7000"),
                         update_of(1, wire::item_run_status::completed, 1, "a"));
            THEN("it is ignored") {
                CHECK(notified.empty());
            }
        }
    }
    GIVEN("a link that accepts no message") {
        is_link_open = false;
        THEN("this store carries out the run itself") {
            CHECK_FALSE(runs->start(request_of(2), {}, text));
        }
    }
}
