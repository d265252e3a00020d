#include "base/system_clock.h"
#include "task/task.h"

#include <doctest/doctest.h>

#include <future>
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
