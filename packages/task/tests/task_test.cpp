#include "base/system_clock.h"
#include "task/event_loop.h"
#include "task/internal/timer_queue.h"
#include "task/socket_watch.h"
#include "task/task.h"
#include "task/timer.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <future>
#include <memory>
#include <numeric>
#include <vector>

using namespace kingcupcart;
using namespace std::chrono_literals;

namespace {

/// Collects messages, and fulfils a promise once it has the expected number of them.
struct message_collector {
    using message = int;

    explicit message_collector(std::promise<std::vector<int>>& done, std::size_t expected_count)
        : done(done), expected_count(expected_count) {}

    void handle(int incoming) {
        this->received.push_back(incoming);
        if (this->received.size() == this->expected_count) {
            this->done.set_value(this->received);
        }
    }

    std::promise<std::vector<int>>& done;
    std::size_t expected_count;
    std::vector<int> received;
};

} // namespace

SCENARIO("a task handles its messages in order, on its own thread") {
    std::promise<std::vector<int>> done;
    task::task<message_collector> running_task;
    GIVEN("a running task") {
        REQUIRE(running_task.start([&] { return std::make_unique<message_collector>(done, 100); }));
        WHEN("another thread posts messages") {
            for (int i = 0; i < 100; ++i) {
                REQUIRE(running_task.post(i));
            }
            THEN("the handler receives all of them in order") {
                const auto received = done.get_future().get();
                for (int i = 0; i < 100; ++i) {
                    CHECK(received[static_cast<std::size_t>(i)] == i);
                }
            }
        }
        WHEN("the task has ended") {
            const auto address = running_task.address();
            running_task.stop();
            THEN("its sender rejects messages") {
                CHECK_FALSE(address.post(1));
            }
        }
    }
    GIVEN("a handler that can't be created") {
        CHECK_FALSE(running_task.start([] { return std::unique_ptr<message_collector>(); }));
        CHECK_FALSE(running_task.post(1));
    }
}

SCENARIO("an event loop returns from run at once if quit was called before") {
    GIVEN("an event loop") {
        task::event_loop loop;
        loop.enter();
        WHEN("quit is called first") {
            loop.quit();
            THEN("run returns at once") {
                loop.run();
                CHECK(true);
            }
        }
        loop.leave();
    }
}

SCENARIO("a full mailbox rejects messages and counts them") {
    task::event_loop loop;
    loop.enter();
    {
        std::vector<int> received;
        task::mailbox<int> inbox(2, [&](int incoming) { received.push_back(incoming); });
        CHECK(inbox.post(1));
        CHECK(inbox.post(2));
        CHECK_FALSE(inbox.post(3));
        CHECK(inbox.dropped() == 1);
        THEN("the accepted messages are delivered") {
            g_main_context_iteration(loop.context(), FALSE);
            CHECK(received == std::vector<int>{1, 2});
        }
    }
    loop.leave();
}

SCENARIO("a wakeup that another callback disarms in the same loop iteration does not call back") {
    task::event_loop loop;
    loop.enter();
    {
        int calls = 0;
        std::unique_ptr<task::wakeup> other;
        task::wakeup first([&] {
            ++calls;
            other->disarm();
        });
        other = std::make_unique<task::wakeup>([&] {
            ++calls;
            first.disarm();
        });
        // Both are ready before either is dispatched.
        first.arm_now();
        other->arm_now();
        g_main_context_iteration(loop.context(), FALSE);
        CHECK(calls == 1);
    }
    loop.leave();
}

SCENARIO("a wakeup calls back at its time and not before") {
    const system_clock clock;
    task::event_loop loop;
    loop.enter();
    {
        time_point called_at{};
        task::wakeup wake([&] {
            called_at = clock.now();
            loop.quit();
        });
        const time_point due = clock.now() + 20ms;
        wake.arm(due);
        loop.run();
        CHECK(called_at >= due);
    }
    loop.leave();
}

SCENARIO("sockets and timers of an event loop share one source each") {
    task::event_loop loop;
    loop.enter();
    GIVEN("watches of several sockets") {
        constexpr int pair_count = 50;
        std::vector<std::array<int, 2>> pairs(pair_count);
        std::vector<std::unique_ptr<task::socket_watch>> watches;
        std::vector<int> calls(pair_count);
        for (std::size_t i = 0; i < pair_count; ++i) {
            REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pairs[i].data()) == 0);
            watches.push_back(std::make_unique<task::socket_watch>(pairs[i][0], [&, i] {
                char byte = 0;
                ++calls[i];
                CHECK(read(pairs[i][0], &byte, 1) == 1);
            }));
        }
        WHEN("one socket receives data") {
            REQUIRE(write(pairs[7][1], "x", 1) == 1);
            g_main_context_iteration(loop.context(), TRUE);
            THEN("its watch alone calls back") {
                CHECK(calls[7] == 1);
                CHECK(std::accumulate(calls.begin(), calls.end(), 0) == 1);
            }
        }
        WHEN("a callback destroys its own watch and that of another ready socket") {
            int remaining_calls = 0;
            watches[0].reset();
            watches[1].reset();
            const auto destroy_both = [&] {
                ++remaining_calls;
                watches[0].reset();
                watches[1].reset();
            };
            watches[0] = std::make_unique<task::socket_watch>(pairs[0][0], destroy_both);
            watches[1] = std::make_unique<task::socket_watch>(pairs[1][0], destroy_both);
            REQUIRE(write(pairs[0][1], "x", 1) == 1);
            REQUIRE(write(pairs[1][1], "x", 1) == 1);
            g_main_context_iteration(loop.context(), TRUE);
            THEN("the other one does not call back") {
                CHECK(remaining_calls == 1);
            }
        }
        WHEN("a watch awaits that its socket is writable") {
            watches[3].reset();
            bool is_writable = false;
            watches[3] =
                std::make_unique<task::socket_watch>(pairs[3][0], [&] { is_writable = true; });
            watches[3]->await_writable(true);
            g_main_context_iteration(loop.context(), TRUE);
            THEN("it calls back without any data") {
                CHECK(is_writable);
            }
        }
        watches.clear();
        for (const auto& ends : pairs) {
            close(ends[0]);
            close(ends[1]);
        }
    }
    GIVEN("timers that are due in another order than they were armed") {
        std::vector<int> fired;
        task::timer late([&] { fired.push_back(2); });
        task::timer early([&] { fired.push_back(1); });
        task::timer disarmed([&] { fired.push_back(3); });
        const auto now = std::chrono::steady_clock::now();
        late.arm(now + 20ms);
        early.arm(now + 10ms);
        disarmed.arm(now + 15ms);
        disarmed.disarm();
        WHEN("their times pass") {
            while (fired.size() < 2) {
                g_main_context_iteration(loop.context(), TRUE);
            }
            THEN("they call back in the order of their times, without the disarmed one") {
                CHECK(fired == std::vector<int>{1, 2});
            }
        }
    }
    GIVEN("a single timer whose callback destroys it") {
        std::unique_ptr<task::timer> single;
        std::weak_ptr<task::timer_queue> queue;
        bool has_fired = false;
        bool had_queue = false;
        single = std::make_unique<task::timer>([&] {
            single.reset();
            had_queue = !queue.expired();
            has_fired = true;
        });
        queue = task::timer_queue::current();
        single->arm(std::chrono::steady_clock::now());
        WHEN("its time passes") {
            while (!has_fired) {
                g_main_context_iteration(loop.context(), TRUE);
            }
            THEN("the queue that calls it lives until the callback has returned") {
                CHECK(had_queue);
            }
        }
    }
    loop.leave();
}
