#include "group/tests/test_group.h"
#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::group;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 10ms;
/// A group has to have a leader and equal states within this time once all disks take writes: some
/// elections and resume delays.
constexpr duration recovery_time = 15s;

/// The event loop that all groups of a test share, so that many of them can run at once.
class shared_loop {
public:
    shared_loop() { this->loop.enter(); }
    ~shared_loop() { this->loop.leave(); }

    void run_for(duration time) {
        task::wakeup end([this] { this->loop.quit(); });
        end.arm(this->clock.now() + time);
        this->loop.run();
    }
    /// Returns false if the condition doesn't hold within the time.
    [[nodiscard]] bool run_until(const std::function<bool()>& condition, duration time) {
        const time_point deadline = this->clock.now() + time;
        while (!condition() && this->clock.now() < deadline) {
            this->run_for(step);
        }
        return condition();
    }

private:
    system_clock clock;
    task::event_loop loop;
};

using test_groups = std::vector<std::unique_ptr<test_group>>;

bool have_converged(const test_groups& groups) {
    return std::all_of(groups.begin(), groups.end(), [](const auto& group) {
        return group->leader() != nullptr && group->has_converged();
    });
}

void check_rules(const test_groups& groups) {
    for (std::size_t i = 0; i < groups.size(); ++i) {
        CAPTURE(i);
        CHECK(groups[i]->has_converged());
        CHECK(groups[i]->is_consistent());
        CHECK(groups[i]->sent_while_suspended() == 0);
    }
}

} // namespace

// Guards against a member whose log stopped for good at the first refused write, until its process
// was restarted.
SCENARIO("the only member of a group outlasts any refused call of its disk") {
    shared_loop loop;
    constexpr std::size_t max_calls = 60;
    test_groups groups;
    for (std::size_t call = 1; call <= max_calls; ++call) {
        groups.push_back(std::make_unique<test_group>(call, 1));
    }
    GIVEN("groups with a leader, each of which meets the refusal at another call") {
        REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
        for (std::size_t i = 0; i < groups.size(); ++i) {
            test_disk& disk = groups[i]->at(0).disk;
            disk.refuse_call(disk.calls() + i + 1);
        }
        WHEN("commands are proposed meanwhile") {
            for (int round = 0; round < 60; ++round) {
                for (const auto& group : groups) {
                    group->propose();
                }
                loop.run_for(step);
            }
            REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
            THEN("each takes commands again, and a loss of power takes nothing acknowledged") {
                for (const auto& group : groups) {
                    CHECK(group->at(0).disk.has_refused());
                    CHECK(group->at(0).resumptions == 1);
                    const std::size_t count = group->acknowledged().size();
                    group->propose();
                    CHECK(loop.run_until([&] { return group->acknowledged().size() > count; }, 5s));
                }
                check_rules(groups);
                for (const auto& group : groups) {
                    group->lose_power(group->at(0));
                    group->start(group->at(0));
                }
                REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
                check_rules(groups);
            }
        }
    }
}

SCENARIO("a disk that is full when its member starts does not end the process") {
    shared_loop loop;
    test_groups groups;
    groups.push_back(std::make_unique<test_group>(1, 3));
    test_group& group = *groups.front();
    REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
    GIVEN("two members, one with a full disk, that lost power") {
        for (std::size_t i = 0; i < 2; ++i) {
            group.lose_power(group.at(i));
        }
        group.at(0).disk.set_full(true);
        group.start(group.at(0));
        group.start(group.at(1));
        group.propose();
        REQUIRE(loop.run_until([&] { return group.leader() != nullptr; }, recovery_time));
        CHECK(group.at(0).log->is_suspended());
        CHECK(group.at(0).applied.empty());
        WHEN("the disk takes writes") {
            group.at(0).disk.set_full(false);
            THEN("the member takes part again") {
                CHECK(loop.run_until([&] { return have_converged(groups); }, recovery_time));
                check_rules(groups);
            }
        }
    }
}

SCENARIO("a leader whose disk is full hands over") {
    shared_loop loop;
    test_groups groups;
    groups.push_back(std::make_unique<test_group>(2, 3));
    test_group& group = *groups.front();
    REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
    test_group::member* first = group.leader();
    REQUIRE(first != nullptr);
    first->disk.set_full(true);
    group.propose();
    THEN("another member leads, and the first one follows it once its disk takes writes") {
        REQUIRE(loop.run_until([&] { return group.leader() != nullptr && group.leader() != first; },
                               recovery_time));
        CHECK(first->log->is_suspended());
        for (int i = 0; i < 20; ++i) {
            group.propose();
            loop.run_for(step);
        }
        first->disk.set_full(false);
        REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
        check_rules(groups);
        AND_THEN("the next leader can lose its disk in turn") {
            test_group::member* second = group.leader();
            REQUIRE(second != nullptr);
            second->disk.set_full(true);
            group.propose();
            REQUIRE(loop.run_until(
                [&] { return group.leader() != nullptr && group.leader() != second; },
                recovery_time));
            second->disk.set_full(false);
            CHECK(loop.run_until([&] { return have_converged(groups); }, recovery_time));
            check_rules(groups);
        }
    }
}

// Guards against a member that went in and out of its group several times a second: a probe of the
// disk passed, and the next append was refused.
SCENARIO("a disk that passes its probe and refuses the next append is used again later each time") {
    shared_loop loop;
    test_groups groups;
    groups.push_back(std::make_unique<test_group>(5, 3));
    test_group& group = *groups.front();
    REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
    test_group::member* faulty = group.leader();
    REQUIRE(faulty != nullptr);
    constexpr duration fault_time = 4s;
    constexpr std::size_t command_size = 2000;
    const auto propose_for = [&](duration time) {
        for (duration passed{}; passed < time; passed += step) {
            group.propose(command_size);
            loop.run_for(step);
        }
    };
    GIVEN("a leader whose disk takes small appends only") {
        faulty->disk.refuse_larger_appends(command_size / 2);
        propose_for(fault_time);
        THEN("it waits until the disk takes the size that it refused") {
            CHECK(faulty->log->is_suspended());
            CHECK(faulty->log->suspension_count() == 1);
            faulty->disk.refuse_larger_appends(std::string::npos);
            CHECK(loop.run_until([&] { return have_converged(groups); }, recovery_time));
            check_rules(groups);
        }
    }
    GIVEN("a leader whose disk refuses every append, and no probe") {
        faulty->disk.refuse_appends_unnoticed(true);
        propose_for(fault_time);
        THEN("it tries again after 0.25 s, 0.5 s, 1 s and 2 s") {
            // At once, then after the delays above in turn.
            CHECK(faulty->log->suspension_count() <= 5);
            faulty->disk.refuse_appends_unnoticed(false);
            CHECK(loop.run_until([&] { return have_converged(groups); }, recovery_time));
            check_rules(groups);
        }
    }
}

SCENARIO("a journal that can't be read back is no damaged one") {
    shared_loop loop;
    test_groups groups;
    groups.push_back(std::make_unique<test_group>(6, 3));
    test_group& group = *groups.front();
    REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
    test_group::member* faulty = group.leader();
    REQUIRE(faulty != nullptr);
    GIVEN("a leader whose disk was full, and takes writes but refuses reads after that") {
        faulty->disk.set_full(true);
        group.propose();
        loop.run_for(1s);
        faulty->disk.set_unreadable(true);
        faulty->disk.set_full(false);
        loop.run_for(3s);
        CHECK(faulty->log->is_suspended());
        CHECK(faulty->applied.empty());
        WHEN("the journal can be read") {
            faulty->disk.set_unreadable(false);
            THEN("the member takes part again within seconds") {
                CHECK(loop.run_until([&] { return have_converged(groups); }, 5s));
                check_rules(groups);
            }
        }
    }
}

SCENARIO(
    "a group in which two of three disks refuse writes goes on with the first that takes them") {
    shared_loop loop;
    test_groups groups;
    groups.push_back(std::make_unique<test_group>(7, 3));
    test_group& group = *groups.front();
    REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
    group.propose();
    REQUIRE(loop.run_until([&] { return !group.acknowledged().empty(); }, 5s));
    GIVEN("a leader and a follower with full disks") {
        test_group::member* first = group.leader();
        REQUIRE(first != nullptr);
        test_group::member& second = &group.at(0) == first ? group.at(1) : group.at(0);
        first->disk.set_full(true);
        second.disk.set_full(true);
        for (int i = 0; i < 200; ++i) {
            group.propose();
            loop.run_for(step);
        }
        const std::size_t count = group.acknowledged().size();
        CHECK(first->log->is_suspended());
        CHECK(group.leader() == nullptr);
        WHEN("the follower's disk takes writes") {
            second.disk.set_full(false);
            const auto is_acknowledged = [&] {
                group.propose();
                return group.acknowledged().size() > count;
            };
            THEN("commands are taken again, and the leader of before follows later") {
                REQUIRE(loop.run_until(is_acknowledged, recovery_time));
                CHECK(first->log->is_suspended());
                first->disk.set_full(false);
                CHECK(loop.run_until([&] { return have_converged(groups); }, recovery_time));
                check_rules(groups);
            }
        }
    }
}

SCENARIO("a leader that stops hands over") {
    shared_loop loop;
    test_groups groups;
    groups.push_back(std::make_unique<test_group>(4, 3));
    test_group& group = *groups.front();
    REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
    test_group::member* first = group.leader();
    REQUIRE(first != nullptr);
    first->log->hand_over();
    CHECK(loop.run_until([&] { return group.leader() != nullptr && group.leader() != first; },
                         recovery_time));
    CHECK_FALSE(first->leads);
    CHECK_FALSE(first->log->is_suspended());
}

SCENARIO("a snapshot that finds no room leaves the group with its commands") {
    shared_loop loop;
    test_groups groups;
    groups.push_back(std::make_unique<test_group>(3, 1));
    test_group& group = *groups.front();
    REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
    GIVEN("a journal that is about to be compacted, and a disk that fills then") {
        constexpr std::size_t command_size = 1UL << 20;
        constexpr std::size_t commands_before_snapshot = 11;
        for (std::size_t i = 0; i < commands_before_snapshot; ++i) {
            group.propose(command_size);
            REQUIRE(loop.run_until([&] { return group.acknowledged().size() == i + 1; }, 10s));
        }
        test_disk& disk = group.at(0).disk;
        // The next command takes a write, a sync and its mark; the snapshot follows.
        disk.refuse_call(disk.calls() + 4);
        group.propose(command_size);
        group.propose(command_size);
        REQUIRE(loop.run_until([&] { return group.at(0).resumptions == 1; }, 10s));
        THEN("all commands are there, and further ones are taken") {
            REQUIRE(loop.run_until([&] { return have_converged(groups); }, recovery_time));
            const std::size_t count = group.acknowledged().size();
            group.propose();
            CHECK(loop.run_until([&] { return group.acknowledged().size() > count; }, 5s));
            check_rules(groups);
        }
    }
}

// Disks of one member after the other are full, refuse single calls (a refused sync loses what it
// was to write), and machines lose power, beside a steady load.
SCENARIO("no acknowledged command is lost to disks that refuse writes") {
    shared_loop loop;
    constexpr std::uint64_t seeds = 24;
    constexpr int rounds = 500;
    std::mt19937_64 random(7);
    test_groups groups;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        groups.push_back(std::make_unique<test_group>(100 + seed, 3));
    }
    /// The member with the current fault of each group, and the rounds until it ends.
    struct fault {
        test_group::member* at = nullptr;
        std::uint64_t remaining = 50;
    };
    std::vector<fault> faults(groups.size());
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < groups.size(); ++i) {
            test_group& group = *groups[i];
            fault& current = faults[i];
            group.propose();
            if (--current.remaining > 0) {
                continue;
            }
            current.remaining = 20 + random() % 60;
            if (current.at != nullptr) {
                current.at->disk.set_full(false);
                if (!current.at->log) {
                    group.start(*current.at);
                }
                current.at = nullptr;
                continue;
            }
            current.at = &group.at(random() % group.size());
            const auto kind = random() % 3;
            if (kind == 0) {
                current.at->disk.set_full(true);
            } else if (kind == 1) {
                current.at->disk.refuse_call(current.at->disk.calls() + 1 + random() % 6);
            } else {
                group.lose_power(*current.at);
            }
        }
        loop.run_for(step);
    }
    for (std::size_t i = 0; i < groups.size(); ++i) {
        for (std::size_t member = 0; member < groups[i]->size(); ++member) {
            groups[i]->at(member).disk.set_full(false);
            if (!groups[i]->at(member).log) {
                groups[i]->start(groups[i]->at(member));
            }
        }
    }
    CHECK(loop.run_until([&] { return have_converged(groups); }, recovery_time));
    check_rules(groups);
    for (const auto& group : groups) {
        CHECK(group->acknowledged().size() > 20);
    }
}
