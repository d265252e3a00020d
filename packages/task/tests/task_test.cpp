#include "base/system_clock.h"
#include "task/task.h"

#include <doctest/doctest.h>

#include <future>
#include <vector>

using namespace kingcupcart;
using namespace std::chrono_literals;

namespace {

/// Counts up to a number, then says so.
struct counter {
    using message = int;

    explicit counter(std::promise<std::vector<int>>& done, std::size_t wanted)
        : done(done), wanted(wanted) {}

    void handle(int incoming) {
        this->seen.push_back(incoming);
        if (this->seen.size() == this->wanted) {
            this->done.set_value(this->seen);
        }
    }

    std::promise<std::vector<int>>& done;
    std::size_t wanted;
    std::vector<int> seen;
};

} // namespace

SCENARIO("a task handles its messages in order, on its own thread") {
    std::promise<std::vector<int>> done;
    task::task<counter> subject;
    GIVEN("a running task") {
        REQUIRE(subject.start([&] { return std::make_unique<counter>(done, 100); }));
        WHEN("another thread posts") {
            for (int i = 0; i < 100; ++i) {
                REQUIRE(subject.post(i));
            }
            THEN("all arrive in order") {
                const auto seen = done.get_future().get();
                for (int i = 0; i < 100; ++i) {
                    CHECK(seen[static_cast<std::size_t>(i)] == i);
                }
            }
        }
        WHEN("it has ended") {
            const auto address = subject.address();
            subject.stop();
            THEN("its address refuses") {
                CHECK_FALSE(address.post(1));
            }
        }
    }
    GIVEN("a handler that can't be made") {
        CHECK_FALSE(subject.start([] { return std::unique_ptr<counter>(); }));
        CHECK_FALSE(subject.post(1));
    }
}

SCENARIO("a loop that is told to quit before it runs does not run for ever") {
    GIVEN("a loop") {
        task::event_loop loop;
        loop.enter();
        WHEN("quit comes first") {
            loop.quit();
            THEN("run returns") {
                loop.run();
                CHECK(true);
            }
        }
        loop.leave();
    }
}

SCENARIO("a full mailbox refuses and counts") {
    task::event_loop loop;
    loop.enter();
    {
        std::vector<int> seen;
        task::mailbox<int> inbox(2, [&](int incoming) { seen.push_back(incoming); });
        CHECK(inbox.post(1));
        CHECK(inbox.post(2));
        CHECK_FALSE(inbox.post(3));
        CHECK(inbox.dropped() == 1);
        THEN("what was taken is delivered") {
            g_main_context_iteration(loop.context(), FALSE);
            CHECK(seen == std::vector<int>{1, 2});
        }
    }
    loop.leave();
}

SCENARIO("a wakeup that was disarmed in the same turn of the loop does not come") {
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

SCENARIO("a wakeup comes at its moment and not before") {
    const system_clock clock;
    task::event_loop loop;
    loop.enter();
    {
        time_point woken{};
        task::wakeup wake([&] {
            woken = clock.now();
            loop.quit();
        });
        const time_point due = clock.now() + 20ms;
        wake.arm(due);
        loop.run();
        CHECK(woken >= due);
    }
    loop.leave();
}
