#include "http/client.h"
#include "http/exchange.h"
#include "http/server.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr std::int64_t body_limit = 1000;

/// A server and a client on one loop.
struct stage {
    task::event_loop loop;
    std::unique_ptr<server> serving;
    std::unique_ptr<client> calling;
    std::unique_ptr<exchange> pending;
    std::unique_ptr<client::call> call;
    std::unique_ptr<task::wakeup> limit;
    bool timed_out = false;
    bool handed = false;
    bool left = false;
    answer_head head;
    std::string data;
    /// When each part of the data was told.
    std::vector<time_point> times;
    std::optional<call_end> end;

    explicit stage(duration read_interval = duration::zero()) {
        this->loop.enter();
        this->limit = std::make_unique<task::wakeup>([this] {
            this->timed_out = true;
            this->loop.quit();
        });
        this->limit->arm(std::chrono::steady_clock::now() + std::chrono::seconds(20));
        auto opened = value_or_error([&] {
            return server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                [this](std::unique_ptr<exchange> arrived) {
                                    this->pending = std::move(arrived);
                                    this->pending->on_left([this] {
                                        this->left = true;
                                        this->loop.quit();
                                    });
                                    this->loop.quit();
                                });
        });
        this->serving = std::move(std::get<std::unique_ptr<server>>(opened));
        this->calling = std::make_unique<client>(read_interval);
    }
    ~stage() {
        CHECK_FALSE(this->timed_out);
        this->call.reset();
        this->pending.reset();
        this->calling.reset();
        this->serving.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->limit.reset();
        this->loop.leave();
    }
    stage(const stage&) = delete;
    stage& operator=(const stage&) = delete;

    void send(const std::string& body, const std::string& address = "") {
        request wanted;
        wanted.method = "POST";
        wanted.url = "http://" +
                     (address.empty() ? this->serving->address().to_string() : address) + "/a?b=c";
        wanted.content_type = "text/plain";
        wanted.body = body;
        this->call = this->calling->start(wanted, {[this] { this->handed = true; },
                                                   [this](const answer_head& got) {
                                                       this->head = got;
                                                       this->loop.quit();
                                                   },
                                                   [this](std::string_view part) {
                                                       this->data += part;
                                                       this->times.push_back(
                                                           std::chrono::steady_clock::now());
                                                       this->loop.quit();
                                                   },
                                                   [this](call_end how, const std::string&) {
                                                       this->end = how;
                                                       this->loop.quit();
                                                   }});
        this->loop.run();
    }

    void run_to_end() {
        while (!this->end && !this->timed_out) {
            this->loop.run();
        }
    }
};

} // namespace

SCENARIO("a call gets its whole answer") {
    stage play;
    GIVEN("a request that arrived") {
        play.send("hello");
        REQUIRE(play.pending);
        CHECK(play.handed);
        CHECK(play.pending->method() == "POST");
        CHECK(play.pending->path() == "/a?b=c");
        CHECK(play.pending->body() == "hello");
        CHECK(play.pending->header("content-type") == "text/plain");
        CHECK(play.pending->remote_address() == "127.0.0.1");
        WHEN("it is answered whole") {
            play.pending->add_header("X-Test", "yes");
            play.pending->respond(201, "text/plain", "answer");
            play.run_to_end();
            THEN("status, headers and body arrive") {
                CHECK(play.end == call_end::complete);
                CHECK(play.head.status == 201);
                CHECK(play.data == "answer");
                CHECK_FALSE(play.left);
            }
        }
        WHEN("it is answered in parts") {
            play.pending->begin_stream(200, "text/event-stream");
            play.pending->write("one ");
            while (play.data.empty() && !play.timed_out) {
                play.loop.run();
            }
            CHECK(play.data == "one ");
            CHECK_FALSE(play.end);
            play.pending->write("two");
            play.pending->end_stream();
            play.run_to_end();
            THEN("each part arrives when it is written") {
                CHECK(play.end == call_end::complete);
                CHECK(play.data == "one two");
            }
        }
        WHEN("the server goes in the middle of a stream") {
            play.pending->begin_stream(200, "text/plain");
            play.pending->write("half");
            while (play.data.empty() && !play.timed_out) {
                play.loop.run();
            }
            play.pending.reset();
            play.run_to_end();
            THEN("the call is broken, not complete") {
                CHECK(play.end == call_end::broken);
            }
        }
        WHEN("the caller goes before the answer") {
            play.call.reset();
            while (!play.left && !play.timed_out) {
                play.loop.run();
            }
            THEN("the server is told") {
                CHECK(play.left);
            }
        }
        WHEN("the caller goes in the middle of a stream") {
            play.pending->begin_stream(200, "text/plain");
            play.pending->write("half");
            while (play.data.empty() && !play.timed_out) {
                play.loop.run();
            }
            play.call.reset();
            while (!play.left && !play.timed_out) {
                play.loop.run();
            }
            THEN("the server is told") {
                CHECK(play.left);
            }
        }
    }
    GIVEN("a body over the limit") {
        play.send(std::string(body_limit + 1, 'x'));
        play.run_to_end();
        THEN("it is refused and never handled") {
            CHECK(play.head.status == 413);
            CHECK_FALSE(play.pending);
        }
    }
    GIVEN("nobody at the address") {
        const endpoint gone = play.serving->address();
        play.serving.reset();
        play.send("hello", gone.to_string());
        play.run_to_end();
        THEN("nothing was handed over") {
            CHECK(play.end == call_end::unreachable);
            CHECK_FALSE(play.handed);
        }
    }
}

SCENARIO("answers can be read at an interval") {
    constexpr auto interval = std::chrono::milliseconds(20);
    GIVEN("a client with an interval, and a stream") {
        stage play(interval);
        play.send("hello");
        play.pending->begin_stream(200, "text/plain");
        play.pending->write("one ");
        while (play.data.empty() && !play.timed_out) {
            play.loop.run();
        }
        WHEN("parts come faster than that, and the end") {
            play.pending->write("two ");
            play.pending->write("three");
            play.pending->end_stream();
            play.run_to_end();
            THEN("they are read whole, once the interval has passed") {
                CHECK(play.end == call_end::complete);
                CHECK(play.data == "one two three");
                REQUIRE(play.times.size() > 1);
                CHECK(play.times[1] - play.times[0] >= interval);
            }
            AND_WHEN("another request is sent") {
                play.end.reset();
                play.data.clear();
                play.send("again");
                play.pending->respond(200, "text/plain", "answer");
                play.run_to_end();
                THEN("it is answered too") {
                    CHECK(play.data == "answer");
                }
            }
        }
        WHEN("the server goes") {
            play.pending.reset();
            play.run_to_end();
            THEN("the call is broken, not complete") {
                CHECK(play.end == call_end::broken);
            }
        }
        WHEN("the caller goes") {
            play.call.reset();
            while (!play.left && !play.timed_out) {
                play.loop.run();
            }
            THEN("the server is told") {
                CHECK(play.left);
            }
        }
    }
}
