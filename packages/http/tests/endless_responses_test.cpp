#include "base/system_clock.h"
#include "http/client.h"
#include "http/response_budget.h"
#include "http/tests/flooding_server.h"
#include "http/tests/raw_caller.h"
#include "http/tests/raw_server.h"
#include "http/tests/scripted_server.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr std::size_t budget_bytes = 4UL * 1024 * 1024;
/// The budget may be exceeded by one read, or by the fields of one head, before the call that holds
/// most has ended.
constexpr std::size_t most_bytes = budget_bytes + 2UL * 64 * 1024;
constexpr std::size_t flooded_calls = 10;

/// Calls of two clients that share a budget, which keep what they receive.
struct keeping_callers {
    struct kept_call {
        std::unique_ptr<client::call> call;
        std::string data;
        std::optional<call_result> end;
        std::string reason;
    };

    system_clock time;
    task::event_loop loop;
    std::shared_ptr<response_budget> budget = std::make_shared<response_budget>(budget_bytes);
    std::unique_ptr<client> first;
    std::unique_ptr<client> second;
    std::unique_ptr<task::wakeup> timeout;
    std::vector<std::unique_ptr<kept_call>> calls;

    keeping_callers() {
        this->loop.enter();
        this->first =
            std::make_unique<client>(this->time, client::parameters{{}, {}, this->budget});
        this->second = std::make_unique<client>(
            this->time, client::parameters{{}, std::chrono::milliseconds(5), this->budget});
        this->timeout = std::make_unique<task::wakeup>([this] { this->loop.quit(); });
    }
    ~keeping_callers() {
        this->calls.clear();
        this->first.reset();
        this->second.reset();
        this->timeout.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->loop.leave();
    }
    keeping_callers(const keeping_callers&) = delete;
    keeping_callers& operator=(const keeping_callers&) = delete;

    kept_call& start(const endpoint& server, std::size_t max_response_bytes) {
        request outgoing = make_request(server);
        outgoing.max_response_bytes = max_response_bytes;
        const bool is_even = this->calls.size() % 2 == 0;
        kept_call& added = *this->calls.emplace_back(std::make_unique<kept_call>());
        added.call =
            (is_even ? this->first : this->second)
                ->start(outgoing, {[] {}, [](const response_head&) {},
                                   [&added](std::string_view part) { added.data += part; },
                                   [this, &added](call_result result, const std::string& problem) {
                                       added.end = result;
                                       added.reason = problem;
                                       // As owners of calls do where one has failed.
                                       added.data = std::string();
                                       this->loop.quit();
                                   }});
        return added;
    }

    /// Runs the loop until the condition holds, 10 s at most.
    template <typename condition>
    bool run_until(condition is_met) {
        const time_point end = this->time.now() + std::chrono::seconds(10);
        while (!is_met() && this->time.now() < end) {
            this->timeout->arm(this->time.now() + std::chrono::milliseconds(20));
            this->loop.run();
        }
        return is_met();
    }

    [[nodiscard]] bool have_ended(std::size_t count) const {
        return std::all_of(this->calls.begin(),
                           this->calls.begin() + static_cast<std::ptrdiff_t>(count),
                           [](const auto& call) { return call->end.has_value(); });
    }
};

const std::string ok_head = "HTTP/1.1 200 OK\r\n";
const std::string filler(64UL * 1024, 'x');

struct flood {
    const char* name;
    std::string response;
    std::string filler;
};

std::string repeated(const std::string& part) {
    std::string text;
    while (text.size() < filler.size()) {
        text += part;
    }
    return text;
}

const std::array<flood, 8> floods = {{
    {"bytes that are no response", filler, filler},
    {"a head that does not end", ok_head + "X-Filler: ", filler},
    {"a head of many fields", ok_head, repeated("a:\r\n")},
    {"interim heads", "", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
    {"a body of 10^12 bytes", ok_head + "Content-Length: 1000000000000\r\n\r\n", filler},
    {"a body without a length", ok_head + "\r\n", filler},
    {"chunks", ok_head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n"},
    {"one chunk of 2^60 bytes", ok_head + "Transfer-Encoding: chunked\r\n\r\n1000000000000000\r\n",
     filler},
}};

} // namespace

// Operators of similar systems saw a server that sent without end; each call had a limit, and all
// of them together exhausted the memory.
SCENARIO("responses without end on many connections do not exhaust the memory of a task") {
    for (const flood& sent : floods) {
        for (const std::size_t limit : {std::size_t{0}, 16UL * 1024 * 1024}) {
            SUBCASE((std::string("When: ten servers send ") + sent.name +
                     (limit == 0 ? ", and no call has a limit" : ""))
                        .c_str()) {
                flooding_server server(sent.response, sent.filler);
                scripted_server small({{ok_head + "Content-Length: 10\r\n\r\nfirst",
                                        scripted_reply::ending::keep_open, "later"}});
                keeping_callers callers;
                for (std::size_t i = 0; i < flooded_calls; ++i) {
                    callers.start(server.address(), limit);
                }
                auto& innocent = callers.start(small.address(), limit);
                const bool have_ended =
                    callers.run_until([&] { return callers.have_ended(flooded_calls); });
                THEN("the memory stays within the budget, and each of these calls is broken") {
                    CHECK(have_ended);
                    CHECK(callers.budget->peak_bytes() <= most_bytes);
                    for (std::size_t i = 0; i < flooded_calls; ++i) {
                        CHECK(callers.calls[i]->end == call_result::broken);
                    }
                }
                THEN("their connections are closed, and a small response is complete") {
                    CHECK(callers.run_until([&] { return server.open_count() == 0; }));
                    CHECK(callers.run_until([&] { return innocent.end.has_value(); }));
                    CHECK(innocent.end == call_result::complete);
                    CHECK(callers.budget->held_bytes() <= 1024);
                }
            }
        }
    }
}

SCENARIO("the response that holds most is cut when the budget is short") {
    GIVEN("a response that has nearly used up the budget, and stalls") {
        const std::string body(budget_bytes - 256UL * 1024, 'x');
        raw_server stalled(ok_head + "Content-Length: 1000000000\r\n\r\n" + body, "");
        keeping_callers callers;
        auto& large = callers.start(stalled.address(), 0);
        REQUIRE(callers.run_until([&] { return large.data.size() == body.size(); }));
        WHEN("a response of 512 KiB arrives") {
            scripted_server server(
                {{ok_head + "Content-Length: 524288\r\n\r\n" + std::string(512UL * 1024, 'y')}});
            auto& small = callers.start(server.address(), 0);
            REQUIRE(callers.run_until([&] { return small.end.has_value(); }));
            THEN("it is complete, and the large one is broken") {
                CHECK(small.end == call_result::complete);
                CHECK(large.end == call_result::broken);
                CHECK(large.reason.find("budget") != std::string::npos);
                CHECK(callers.budget->cut_count() == 1);
            }
        }
    }
    GIVEN("a call whose owner passes on what it receives") {
        flooding_server server(ok_head + "\r\n", filler);
        keeping_callers callers;
        std::size_t passed_bytes = 0;
        std::optional<call_result> end;
        request outgoing = make_request(server.address());
        outgoing.max_response_bytes = 0;
        std::unique_ptr<client::call> call;
        call = callers.first->start(
            outgoing, {[] {}, [](const response_head&) {},
                       [&](std::string_view part) {
                           passed_bytes += part.size();
                           call->set_held_bytes(0);
                       },
                       [&](call_result result, const std::string&) { end = result; }});
        THEN("it goes on beyond the budget") {
            CHECK(callers.run_until([&] { return passed_bytes > 2 * budget_bytes; }));
            CHECK_FALSE(end);
            CHECK(callers.budget->held_bytes() <= 64UL * 1024);
        }
    }
}
