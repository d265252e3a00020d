#include "relaying/tests/relaying_fleet.h"
#include "task/listening_socket.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::relaying;
using namespace std::chrono_literals;

namespace {

const http::response_head ok{200, "text/plain", {{"X-Stamp", "s"}}};

} // namespace

SCENARIO("a gateway that is cut off has its calls forwarded by another one") {
    relaying_fleet fleet;
    test_relay& relay = fleet.add_relay("r1");
    const auto ends = [&](const std::unique_ptr<test_call>& call) {
        return fleet.run_until([&] { return call->result.has_value(); });
    };
    const auto arrives = [&](std::size_t count) {
        return fleet.run_until([&] { return relay.calls.size() == count; });
    };

    GIVEN("a call") {
        auto call = fleet.start(make_request("attempt"));
        CHECK(!call->is_sent);
        CHECK(fleet.client->open_count() == 1);
        REQUIRE(arrives(1));
        test_relay::received_call& received = relay.calls.front();
        THEN("it arrives as it was sent, with less time") {
            CHECK(call->is_sent);
            CHECK(fleet.client->relay_of(*call->handle) == relay.id);
            CHECK(received.exchange->origin() == instance_id("asker"));
            CHECK(received.request.name == "attempt");
            CHECK(received.request.method == "POST");
            CHECK(received.request.path == "/app?x=1");
            CHECK(received.request.headers == make_request("").headers);
            CHECK(received.request.body == "hello");
            CHECK(received.request.max_wait <= 3s);
            CHECK(received.request.max_wait > 2s);
            CHECK(relay.server->open_count() == 1);
        }
        WHEN("the relay responds") {
            received.exchange->respond(ok, "the answer");
            REQUIRE(ends(call));
            THEN("the response comes back unchanged") {
                CHECK(call->result == relay_result::complete);
                REQUIRE(call->head);
                CHECK(call->head->status == 200);
                CHECK(call->head->content_type == "text/plain");
                CHECK(call->head->headers == ok.headers);
                CHECK(!call->is_stream);
                CHECK(call->body == "the answer");
                CHECK(fleet.client->open_count() == 0);
            }
            THEN("the relay knows that it has arrived, and is idle") {
                CHECK(fleet.run_until([&] { return relay.server->open_count() == 0; }));
                CHECK(fleet.run_until([&] { return relay.idle_count == 1; }));
                CHECK(!received.is_cancelled);
            }
        }
        WHEN("the relay responds with a status and no body") {
            received.exchange->respond({404, "", {}}, "");
            REQUIRE(ends(call));
            CHECK(call->result == relay_result::complete);
            CHECK(call->head->status == 404);
            CHECK(call->body.empty());
        }
        WHEN("the caller leaves") {
            call.reset();
            THEN("the relay's work is cancelled") {
                CHECK(fleet.run_until([&] { return received.is_cancelled; }));
                CHECK(relay.server->open_count() == 0);
                CHECK(fleet.client->open_count() == 0);
                received.exchange->respond(ok, "late");
                fleet.run_for(20ms);
            }
        }
        WHEN("the relay refuses it as not run") {
            received.exchange->refuse(false, "full", 40ms);
            REQUIRE(ends(call));
            CHECK(call->result == relay_result::declined);
            CHECK(call->reason == "full");
            CHECK(call->retry_after == 40ms);
        }
        WHEN("the relay can't tell whether it ran") {
            received.exchange->refuse(true, "target ended", 0ms);
            REQUIRE(ends(call));
            CHECK(call->result == relay_result::broken);
        }
        WHEN("the relay gives it up without a response") {
            received.exchange.reset();
            THEN("the call ends as one that may have run") {
                REQUIRE(ends(call));
                CHECK(call->result == relay_result::broken);
            }
        }
        WHEN("the relay ends") {
            relay.stop();
            THEN("the call is broken at once") {
                CHECK(fleet.run_until([&] { return call->result.has_value(); }, 200ms));
                CHECK(call->result == relay_result::broken);
                CHECK(fleet.metric("relay_links_open") == 0);
            }
            THEN("the relay's work is cancelled") {
                CHECK(received.is_cancelled);
            }
        }
        WHEN("the gateway that relayed it ends") {
            fleet.client.reset();
            THEN("the relay's work is cancelled at once") {
                CHECK(fleet.run_until([&] { return received.is_cancelled; }, 200ms));
            }
        }
    }
    GIVEN("a stream") {
        auto call = fleet.start(make_request("stream"));
        REQUIRE(arrives(1));
        relayed_exchange& exchange = *relay.calls.front().exchange;
        exchange.begin_stream(ok);
        CHECK(exchange.is_streaming());
        WHEN("events are written") {
            for (const std::string event : {"one", "two", "three"}) {
                exchange.write(event);
                // Before the next one is written.
                CHECK(fleet.run_until(
                    [&] { return !call->parts.empty() && call->parts.back() == event; }));
            }
            exchange.end_stream();
            REQUIRE(ends(call));
            THEN("each arrives by itself") {
                CHECK(call->is_stream);
                CHECK(call->parts == std::vector<std::string>{"one", "two", "three"});
                CHECK(call->result == relay_result::complete);
            }
        }
        WHEN("the relay gives up in the middle") {
            exchange.write("one");
            relay.calls.front().exchange.reset();
            REQUIRE(ends(call));
            THEN("the caller has what was sent, and a visible break") {
                CHECK(call->body == "one");
                CHECK(call->result == relay_result::broken);
            }
        }
        WHEN("the relay refuses as not run what it has begun") {
            exchange.refuse(false, "lost", 0ms);
            REQUIRE(ends(call));
            CHECK(call->result == relay_result::broken);
        }
        WHEN("the caller reads slowly") {
            call->handle->set_paused(true);
            std::size_t taken_callbacks = 0;
            exchange.on_sent([&] { ++taken_callbacks; });
            const std::string event(1000, 'e');
            constexpr std::size_t written = 2000;
            for (std::size_t i = 0; i < written; ++i) {
                exchange.write(event);
            }
            fleet.run_for(50ms);
            THEN("nothing counts as sent, and no more than a window arrives") {
                CHECK(exchange.unsent_bytes() == written * event.size());
                CHECK(taken_callbacks == 0);
                CHECK(call->body.size() >= 100'000);
                CHECK(call->body.size() <= 300'000);
            }
            AND_WHEN("it reads on") {
                call->handle->set_paused(false);
                THEN("the rest arrives, and the relay is told") {
                    CHECK(fleet.run_until(
                        [&] { return call->body.size() == written * event.size(); }));
                    CHECK(fleet.run_until([&] { return exchange.unsent_bytes() < 16'000; }));
                    CHECK(taken_callbacks > 10);
                    exchange.end_stream();
                    REQUIRE(ends(call));
                    CHECK(call->result == relay_result::complete);
                }
            }
            AND_WHEN("it leaves") {
                call.reset();
                THEN("nothing is kept for it") {
                    CHECK(fleet.run_until([&] { return relay.calls.front().is_cancelled; }));
                    CHECK(exchange.unsent_bytes() == 0);
                }
            }
        }
    }
    GIVEN("many calls at a time") {
        constexpr std::size_t count = 100;
        std::vector<std::unique_ptr<test_call>> calls;
        for (std::size_t i = 0; i < count; ++i) {
            calls.push_back(fleet.start(make_request("call " + std::to_string(i))));
        }
        REQUIRE(arrives(count));
        THEN("all use one link, and each gets its own response") {
            CHECK(fleet.metric("relay_links_open") == 1);
            // In another order than that of their arrival.
            for (std::size_t i = 0; i < count; ++i) {
                test_relay::received_call& received = relay.calls[(i * 37) % count];
                received.exchange->respond(ok, "answer to " + received.request.name);
            }
            for (std::size_t i = 0; i < count; ++i) {
                REQUIRE(ends(calls[i]));
                CHECK(calls[i]->body == "answer to call " + std::to_string(i));
            }
            CHECK(fleet.run_until([&] { return relay.server->open_count() == 0; }));
        }
    }
    GIVEN("a response of 20 MB to a caller who doesn't read") {
        auto large = fleet.start(make_request("large"));
        REQUIRE(arrives(1));
        large->handle->set_paused(true);
        relay.calls.front().exchange->respond(ok, std::string(20'000'000, 'b'));
        relay.calls.front().exchange.reset();
        WHEN("another call uses the link") {
            auto small = fleet.start(make_request("small"));
            REQUIRE(arrives(2));
            relay.calls.back().exchange->respond(ok, "small");
            THEN("it does not wait for the large one") {
                CHECK(ends(small));
                CHECK(large->body.size() < 1'000'000);
            }
        }
        WHEN("its caller reads on") {
            large->handle->set_paused(false);
            REQUIRE(ends(large));
            CHECK(large->result == relay_result::complete);
            CHECK(large->body == std::string(20'000'000, 'b'));
        }
        WHEN("its caller leaves") {
            large.reset();
            CHECK(fleet.run_until([&] { return relay.server->open_count() == 0; }));
        }
    }
}

SCENARIO("a relay refuses at once what it can't take") {
    relaying_fleet fleet;
    GIVEN("a relay that forwards as many calls as it may") {
        test_relay& relay = fleet.add_relay("r1", 2);
        auto first = fleet.start(make_request("first"));
        auto second = fleet.start(make_request("second"));
        REQUIRE(fleet.run_until([&] { return relay.calls.size() == 2; }));
        WHEN("another one arrives") {
            auto third = fleet.start(make_request("third"));
            REQUIRE(fleet.run_until([&] { return third->result.has_value(); }));
            THEN("it is refused as not run, and the others go on") {
                CHECK(third->result == relay_result::declined);
                CHECK(relay.calls.size() == 2);
                relay.calls[0].exchange->respond(ok, "first");
                relay.calls[1].exchange->respond(ok, "second");
                CHECK(fleet.run_until([&] { return first->result && second->result; }));
                CHECK(first->body == "first");
                CHECK(second->body == "second");
            }
        }
    }
    GIVEN("a relay that stops while it forwards a stream") {
        test_relay& relay = fleet.add_relay("r1");
        auto stream = fleet.start(make_request("stream"));
        REQUIRE(fleet.run_until([&] { return relay.calls.size() == 1; }));
        relay.calls.front().exchange->begin_stream(ok);
        relay.server->begin_stop();
        WHEN("another call arrives") {
            auto late = fleet.start(make_request("late"));
            REQUIRE(fleet.run_until([&] { return late->result.has_value(); }));
            THEN("it is refused as not run") {
                CHECK(late->result == relay_result::declined);
                CHECK(relay.calls.size() == 1);
            }
        }
        THEN("the stream goes on to its end, and the relay is idle then") {
            relay.calls.front().exchange->write("rest");
            fleet.run_for(20ms);
            // The call, and the link over which others may be on their way.
            CHECK(relay.server->open_count() == 2);
            CHECK(relay.idle_count == 0);
            relay.calls.front().exchange->end_stream();
            CHECK(fleet.run_until([&] { return relay.idle_count == 1; }));
            CHECK(stream->result == relay_result::complete);
            CHECK(stream->body == "rest");
            CHECK(relay.server->open_count() == 0);
        }
    }
    // A call that was on its way when its relay ended was reported as one that may have run.
    GIVEN("a relay that stops and ends once it is idle") {
        test_relay& relay = fleet.add_relay("r1");
        fleet.client->prepare(backend_name("app"));
        REQUIRE(fleet.run_until([&] { return fleet.metric("relay_links_open") == 1; }));
        std::optional<relay_result> result;
        relay_client::call_callbacks notify;
        bool is_sent = false;
        notify.on_sent = [&] {
            is_sent = true;
            relay.server->begin_stop();
            if (relay.server->open_count() == 0) {
                relay.stop();
            }
        };
        notify.on_complete = [&](relay_result ended, const std::string&, duration) {
            result = ended;
        };
        const auto call = fleet.client->start(make_request("on its way"), {}, notify);
        REQUIRE(fleet.run_until([&] {
            return is_sent && (relay.server == nullptr || relay.server->open_count() == 0);
        }));
        relay.stop();
        REQUIRE(fleet.run_until([&] { return result.has_value(); }));
        THEN("a call that is on its way is refused as not run") {
            CHECK(result == relay_result::declined);
        }
        THEN("later calls are not sent to it") {
            auto later = fleet.start(make_request("later"));
            REQUIRE(fleet.run_until([&] { return later->result.has_value(); }));
            CHECK(later->result == relay_result::no_relay);
        }
    }
    GIVEN("two relays, one of which refuses") {
        test_relay& refusing = fleet.add_relay("r1", 0);
        test_relay& other = fleet.add_relay("r2");
        fleet.client->prepare(backend_name("app"));
        REQUIRE(fleet.run_until([&] { return fleet.metric("relay_links_open") == 2; }));
        std::vector<std::unique_ptr<test_call>> calls;
        constexpr std::size_t count = 30;
        std::size_t declined = 0;
        for (std::size_t i = 0; i < count; ++i) {
            auto call = fleet.start(make_request("call"));
            REQUIRE(fleet.run_until(
                [&] { return call->result || other.calls.size() == i + 1 - declined; }));
            declined += call->result ? 1 : 0;
            calls.push_back(std::move(call));
        }
        THEN("it gets one call at most until some time has passed") {
            CHECK(declined <= 1);
            CHECK(refusing.calls.empty());
        }
        THEN("a second try passes it over") {
            fleet.time.advance(2s);
            for (int i = 0; i < 10; ++i) {
                auto again = fleet.start(make_request("again"), {refusing.id});
                REQUIRE(fleet.run_until([&] { return again->is_sent; }));
                CHECK(fleet.client->relay_of(*again->handle) == other.id);
            }
        }
    }
}

SCENARIO("a call for which no relay can be had is not sent") {
    relaying_fleet fleet;
    const auto result_of = [&](wire::relayed_call_request request, duration max_time) {
        auto call = fleet.start(request);
        REQUIRE(fleet.run_until([&] { return call->result.has_value(); }, max_time));
        CHECK(!call->is_sent);
        CHECK(fleet.client->open_count() == 0);
        return *call->result;
    };
    GIVEN("no keeper that can be reached") {
        fleet.is_keeper_reachable = false;
        CHECK(result_of(make_request("a"), 100ms) == relay_result::no_relay);
    }
    GIVEN("a keeper that knows no relay") {
        CHECK(result_of(make_request("a"), 100ms) == relay_result::no_relay);
        THEN("it is not asked again for each call") {
            for (int i = 0; i < 20; ++i) {
                CHECK(result_of(make_request("a"), 100ms) == relay_result::no_relay);
            }
            CHECK(fleet.lookups <= 2);
        }
    }
    GIVEN("a keeper that doesn't answer") {
        fleet.does_keeper_answer = false;
        const time_point begin = fleet.time.now();
        CHECK(result_of(make_request("a"), 2s) == relay_result::no_relay);
        CHECK(fleet.time.now() - begin < 1s);
    }
    GIVEN("a caller with less time than that") {
        fleet.does_keeper_answer = false;
        wire::relayed_call_request request = make_request("a");
        request.max_wait = 100ms;
        const time_point begin = fleet.time.now();
        CHECK(result_of(request, 2s) == relay_result::no_relay);
        CHECK(fleet.time.now() - begin < 400ms);
    }
    GIVEN("a request that is larger than a link takes") {
        test_relay& relay = fleet.add_relay("r1");
        CHECK(result_of(make_request("a", std::string(9'000'000, 'b')), 1s) ==
              relay_result::no_relay);
        CHECK(relay.calls.empty());
    }
    GIVEN("a relay whose address refuses connections") {
        fleet.add_relay("r1").stop();
        CHECK(result_of(make_request("a"), 2s) == relay_result::no_relay);
    }
}

SCENARIO("links are opened when calls need them, and closed when they are idle") {
    relaying_fleet fleet;
    GIVEN("relays that nobody needs") {
        fleet.add_relay("r1");
        fleet.run_for(50ms);
        THEN("no keeper is asked and no link opened") {
            CHECK(fleet.lookups == 0);
            CHECK(fleet.metric("relay_links_open") == 0);
        }
    }
    GIVEN("six relays, and a backend that will need them") {
        for (int i = 0; i < 6; ++i) {
            fleet.add_relay("r" + std::to_string(i));
        }
        fleet.client->prepare(backend_name("app"));
        REQUIRE(fleet.run_until([&] { return fleet.metric("relay_links_open") == 2; }));
        THEN("two links are opened, and more calls use four at most") {
            std::vector<std::unique_ptr<test_call>> calls;
            for (int i = 0; i < 200; ++i) {
                calls.push_back(fleet.start(make_request("call")));
                REQUIRE(fleet.run_until([&] { return calls.back()->is_sent; }));
            }
            fleet.run_for(50ms);
            CHECK(fleet.metric("relay_links_open") == 4);
            CHECK(fleet.lookups == 1);
        }
        WHEN("they have been idle for 10 s") {
            fleet.time.advance(10s);
            fleet.is_keeper_reachable = false;
            wire::relayed_call_request other = make_request("other");
            other.backend = backend_name("other");
            auto call = fleet.start(other);
            REQUIRE(fleet.run_until([&] { return call->result.has_value(); }));
            THEN("they are closed") {
                CHECK(fleet.metric("relay_links_open") == 0);
                fleet.run_for(50ms);
                for (const auto& [id, relay] : fleet.relays) {
                    CHECK(relay->server->open_count() == 0);
                }
            }
        }
    }
    GIVEN("a relay that accepts connections and never answers") {
        const auto silent = task::listening_socket::open({"127.0.0.1", 0});
        REQUIRE(silent);
        fleet.name("silent", silent->bound);
        WHEN("another relay is known") {
            test_relay& relay = fleet.add_relay("r1");
            THEN("calls go there without delay") {
                auto call = fleet.start(make_request("call"));
                CHECK(fleet.run_until([&] { return relay.calls.size() == 1; }, 200ms));
            }
        }
        WHEN("another one is known that doesn't answer, and one that does") {
            const auto second = task::listening_socket::open({"127.0.0.1", 0});
            REQUIRE(second);
            fleet.name("second", second->bound);
            test_relay& relay = fleet.add_relay("r1");
            THEN("a call goes there after the time for one link") {
                auto call = fleet.start(make_request("call"));
                const time_point begin = fleet.time.now();
                CHECK(fleet.run_until([&] { return relay.calls.size() == 1; }));
                CHECK(fleet.time.now() - begin < 500ms);
            }
        }
        WHEN("no other relay is known") {
            THEN("the call ends in time, and was not sent") {
                auto call = fleet.start(make_request("call"));
                const time_point begin = fleet.time.now();
                CHECK(fleet.run_until([&] { return call->result.has_value(); }));
                CHECK(call->result == relay_result::no_relay);
                CHECK(fleet.time.now() - begin < 1s);
            }
        }
    }
    GIVEN("four relays that accept connections and never answer") {
        std::vector<task::listening_socket> silent;
        for (int i = 0; i < 4; ++i) {
            auto opened = task::listening_socket::open({"127.0.0.1", 0});
            REQUIRE(opened);
            fleet.name("silent" + std::to_string(i), opened->bound);
            silent.push_back(std::move(*opened));
        }
        auto call = fleet.start(make_request("call"));
        const std::size_t before = fleet.iterations;
        REQUIRE(fleet.run_until([&] { return call->result.has_value(); }));
        THEN("the event loop sleeps while the call waits") {
            CHECK(call->result == relay_result::no_relay);
            CHECK(fleet.metric("relay_dials_failed_total") == 4);
            CHECK(fleet.iterations - before < 100);
        }
    }
    GIVEN("an address at which another instance has started") {
        test_relay& relay = fleet.add_relay("r1");
        fleet.candidates.front().id = instance_id("earlier");
        auto call = fleet.start(make_request("call"));
        REQUIRE(fleet.run_until([&] { return call->result.has_value(); }));
        THEN("it gets no call") {
            CHECK(call->result == relay_result::no_relay);
            CHECK(relay.calls.empty());
        }
    }
    GIVEN("calls at two relays, one of which ends") {
        test_relay& first = fleet.add_relay("r1");
        test_relay& second = fleet.add_relay("r2");
        fleet.client->prepare(backend_name("app"));
        REQUIRE(fleet.run_until([&] { return fleet.metric("relay_links_open") == 2; }));
        std::vector<std::unique_ptr<test_call>> calls;
        for (int i = 0; i < 20; ++i) {
            calls.push_back(fleet.start(make_request("call")));
        }
        REQUIRE(fleet.run_until([&] { return first.calls.size() + second.calls.size() == 20; }));
        REQUIRE(!first.calls.empty());
        REQUIRE(!second.calls.empty());
        const std::size_t at_second = second.calls.size();
        first.stop();
        REQUIRE(fleet.run_until([&] { return fleet.metric("relay_links_open") == 1; }, 200ms));
        THEN("its calls are broken, the others go on and new ones go to the other relay") {
            auto next = fleet.start(make_request("next"));
            REQUIRE(fleet.run_until([&] { return second.calls.size() == at_second + 1; }));
            for (test_relay::received_call& call : second.calls) {
                call.exchange->respond(ok, "");
            }
            std::size_t complete = 0;
            std::size_t broken = 0;
            for (const auto& call : calls) {
                REQUIRE(fleet.run_until([&] { return call->result.has_value(); }));
                complete += call->result == relay_result::complete ? 1 : 0;
                broken += call->result == relay_result::broken ? 1 : 0;
            }
            CHECK(complete == at_second);
            CHECK(broken == 20 - at_second);
        }
    }
}

SCENARIO("callbacks of a call may end it, or the client") {
    relaying_fleet fleet;
    test_relay& relay = fleet.add_relay("r1");
    std::unique_ptr<relay_client::call> handle;
    bool is_called = false;
    relay_client::call_callbacks notify;
    notify.on_head = [](const http::response_head&, bool) {};
    notify.on_data = [](std::string_view) {};
    notify.on_complete = [](relay_result, const std::string&, duration) {};
    const auto start = [&] {
        handle = fleet.client->start(make_request("call"), {}, notify);
        REQUIRE(fleet.run_until([&] { return relay.calls.size() == 1; }));
        relay.calls.front().exchange->respond(ok, "body");
        CHECK(fleet.run_until([&] { return is_called; }));
        fleet.run_for(20ms);
        CHECK(relay.server->open_count() == 0);
    };
    GIVEN("a caller that leaves when the head arrives") {
        notify.on_head = [&](const http::response_head&, bool) {
            is_called = true;
            handle.reset();
        };
        notify.on_data = [](std::string_view) { FAIL("called after the call was destroyed"); };
        start();
    }
    GIVEN("a caller that leaves when data arrives") {
        notify.on_data = [&](std::string_view) {
            is_called = true;
            handle.reset();
        };
        notify.on_complete = [](relay_result, const std::string&, duration) {
            FAIL("called after the call was destroyed");
        };
        start();
    }
    GIVEN("a caller that destroys the call at its end") {
        notify.on_complete = [&](relay_result, const std::string&, duration) {
            is_called = true;
            handle.reset();
        };
        start();
    }
    GIVEN("an owner that destroys the client when data arrives") {
        notify.on_data = [&](std::string_view) {
            is_called = true;
            fleet.client.reset();
        };
        start();
    }
}

// Whole responses to callers who don't read them wait at the relay.
SCENARIO("a relay that holds too much for others ends the calls that take nothing") {
    relaying_fleet fleet;
    const auto budget = std::make_shared<http::caller_budget>(fleet.time, 4'000'000);
    test_relay& relay = fleet.add_relay("r1", 256, budget);
    const auto start = [&](const std::string& name, bool is_paused) {
        auto call = fleet.start(make_request(name));
        call->handle->set_paused(is_paused);
        const std::size_t before = relay.calls.size();
        REQUIRE(fleet.run_until([&] { return relay.calls.size() == before + 1; }));
        return call;
    };
    GIVEN("a response that is not read, for which there is room") {
        auto idle = start("idle", true);
        relay.calls.back().exchange->respond(ok, std::string(3'000'000, 'i'));
        CHECK(budget->held_bytes() >= 3'000'000);
        fleet.run_for(600ms);
        CHECK(!idle->result);
        WHEN("another one arrives, whose caller reads") {
            auto reading = start("reading", false);
            relay.calls.back().exchange->respond(ok, std::string(3'000'000, 'r'));
            THEN("the first one ends visibly, and the other one is served") {
                REQUIRE(fleet.run_until([&] { return reading->result && idle->result; }));
                CHECK(reading->result == relay_result::complete);
                CHECK(reading->body.size() == 3'000'000);
                CHECK(idle->result == relay_result::broken);
                CHECK(idle->body.size() < 3'000'000);
                CHECK(fleet.run_until([&] { return relay.server->open_count() == 0; }));
                CHECK(budget->held_bytes() == 0);
            }
        }
        WHEN("its caller leaves") {
            idle.reset();
            CHECK(fleet.run_until([&] { return budget->held_bytes() == 0; }));
        }
    }
    GIVEN("a stream that is cut while its target still sends") {
        auto idle = start("idle", true);
        relayed_exchange& exchange = *relay.calls.back().exchange;
        exchange.begin_stream(ok);
        exchange.write(std::string(5'000'000, 'e'));
        THEN("its target's work is cancelled") {
            CHECK(fleet.run_until([&] { return relay.calls.back().is_cancelled; }));
            CHECK(fleet.run_until([&] { return idle->result.has_value(); }));
            CHECK(idle->result == relay_result::broken);
        }
    }
}
