#include "store/internal/response_backlog.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::store;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t gateway_link = 1;

wire::read_results_request make_read(std::uint64_t call, std::chrono::milliseconds max_wait = {}) {
    wire::read_results_request request;
    request.call = call;
    request.job = job_id("j" + std::to_string(call));
    request.max_wait = max_wait;
    return request;
}

bool always(std::uint64_t /*link*/) {
    return true;
}

/// Callers that read large results through one gateway, whose link to the store is slow.
class crowded_gateway {
public:
    static constexpr std::size_t response_bytes = 700'000;
    static constexpr std::size_t bytes_per_ms = 5'900;
    static constexpr int responses_per_caller = 4;
    /// A caller leaves after this time, and asks again a while later.
    static constexpr duration patience = 1500ms;
    static constexpr duration pause = 500ms;

    explicit crowded_gateway(int callers) {
        for (int i = 0; i < callers; ++i) {
            this->asked_at[i] = this->now - i * (patience + pause) / callers;
        }
    }

    /// Plays a millisecond.
    void step() {
        this->now += 1ms;
        for (auto& [caller, asked] : this->asked_at) {
            if (this->now - asked >= patience + pause) {
                asked = this->now;
                this->open_calls[++this->last_call] = caller;
                this->backlog.add(gateway_link, make_read(this->last_call), this->now);
                this->asked_call[caller] = this->last_call;
            } else if (this->now - asked == patience) {
                this->open_calls.erase(this->asked_call[caller]);
            } else if (this->now - asked == response_backlog::request_lifetime &&
                       this->open_calls.contains(this->asked_call[caller])) {
                // The gateway asks again for a caller that still waits.
                this->backlog.add(gateway_link, make_read(this->asked_call[caller]), this->now);
            }
        }
        const auto has_room = [this](std::uint64_t /*link*/) {
            return this->unsent_bytes <= response_backlog::max_unsent_bytes;
        };
        while (const auto next = this->backlog.take(this->now, has_room)) {
            this->unsent_bytes += response_bytes;
            this->responses.push_back(response_backlog::call_of(next->content));
        }
        this->send(bytes_per_ms);
    }

    [[nodiscard]] bool is_done() const { return this->asked_at.empty(); }

    time_point now = time_point(100s);
    std::size_t unsent_bytes = 0;
    /// Responses that arrived after their caller had left, or a second time.
    int wasted = 0;

private:
    void send(std::size_t bytes) {
        bytes = std::min(bytes, this->unsent_bytes);
        this->unsent_bytes -= bytes;
        this->sent_bytes += bytes;
        while (!this->responses.empty() && this->sent_bytes >= response_bytes) {
            this->sent_bytes -= response_bytes;
            this->arrived(this->responses.front());
            this->responses.pop_front();
        }
    }
    void arrived(std::uint64_t call) {
        const auto open = this->open_calls.find(call);
        if (open == this->open_calls.end()) {
            ++this->wasted;
            return;
        }
        const int caller = open->second;
        this->open_calls.erase(open);
        if (++this->received[caller] == responses_per_caller) {
            this->asked_at.erase(caller);
        } else {
            this->asked_at[caller] = this->now - patience - pause;
        }
    }

    response_backlog backlog;
    std::map<int, time_point> asked_at;
    std::map<int, std::uint64_t> asked_call;
    std::map<std::uint64_t, int> open_calls;
    std::map<int, int> received;
    std::uint64_t last_call = 0;
    std::size_t sent_bytes = 0;
    std::deque<std::uint64_t> responses;
};

} // namespace

SCENARIO("requests wait until their link has room") {
    response_backlog backlog;
    time_point now(100s);
    GIVEN("requests of two links") {
        backlog.add(1, make_read(11), now);
        backlog.add(1, make_read(12), now);
        backlog.add(2, make_read(21), now);
        WHEN("only the second link has room") {
            const auto taken = backlog.take(now, [](std::uint64_t link) { return link == 2; });
            THEN("its request is taken") {
                REQUIRE(taken);
                CHECK(response_backlog::call_of(taken->content) == 21);
                CHECK(backlog.holds(1));
                CHECK_FALSE(backlog.holds(2));
            }
        }
        WHEN("all links have room") {
            THEN("the newest requests are taken first") {
                for (const std::uint64_t expected : {21, 12, 11}) {
                    const auto taken = backlog.take(now, always);
                    REQUIRE(taken);
                    CHECK(response_backlog::call_of(taken->content) == expected);
                }
                CHECK_FALSE(backlog.take(now, always));
                CHECK(backlog.empty());
            }
        }
        WHEN("one is asked again, and the others are not") {
            now += 1s;
            backlog.add(1, make_read(11), now);
            now += response_backlog::request_lifetime - 1s;
            THEN("it alone is left, once") {
                const auto taken = backlog.take(now, always);
                REQUIRE(taken);
                CHECK(response_backlog::call_of(taken->content) == 11);
                CHECK(backlog.empty());
            }
        }
    }
    GIVEN("a read that may wait for its first result") {
        backlog.add(1, make_read(11, 1000ms), now);
        THEN("its waiting time adds to its lifetime") {
            CHECK(backlog.take(now + response_backlog::request_lifetime + 999ms, always));
        }
    }
}

// Guards against jobs that can't be read while one gateway of a zone is left: responses for callers
// that had left kept its link full.
SCENARIO("callers of a crowded gateway receive their results") {
    GIVEN("40 callers that need four large responses each, over a link of 5.9 MB/s") {
        constexpr int callers = 40;
        crowded_gateway gateway(callers);
        constexpr auto least_time = std::chrono::milliseconds(
            callers * crowded_gateway::responses_per_caller * crowded_gateway::response_bytes /
            crowded_gateway::bytes_per_ms);
        const time_point begun_at = gateway.now;
        std::size_t most_unsent = 0;
        while (!gateway.is_done() && gateway.now < begun_at + 2 * least_time) {
            gateway.step();
            most_unsent = std::max(most_unsent, gateway.unsent_bytes);
        }
        THEN("all are served in less than twice the time that the link needs") {
            CHECK(gateway.is_done());
            CHECK(gateway.wasted < callers * crowded_gateway::responses_per_caller / 4);
        }
        THEN("little waits on the link") {
            CHECK(most_unsent <=
                  response_backlog::max_unsent_bytes + crowded_gateway::response_bytes);
        }
    }
}
