#include "quorum/tests/cluster.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <random>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::quorum;
using namespace std::chrono_literals;

namespace {

/// State and network of the largest deployment: pieces and link of its stores, regions 30 ms apart.
struct repair_setting {
    std::size_t members = 0;
    std::size_t state_bytes = 0;
};

/// Five voters hold a state and a log that is about to be compacted, and two of them lose their
/// disks. Returns the time from their return until the group can lose two voters again, at most 20
/// s.
duration time_to_redundancy(std::uint64_t seed, const repair_setting& setting) {
    cluster group(seed, static_cast<int>(setting.members), cluster::initial_group{5});
    group.is_ordered = true;
    group.delay = 30ms;
    group.link_bytes_per_second = 75'000'000;
    group.piece_bytes = 256UL * 1024;
    group.advance(4s);
    while (group.applied(group.leader().value()).size() < setting.state_bytes) {
        group.propose(64UL * 1024);
        group.advance(10ms);
    }
    group.advance(3s);
    REQUIRE(group.bearable_losses() == 2);
    for (const instance_id& id : group.ids) {
        group.compact(id);
    }
    group.compacts_by_growth = true;
    // About 3 MB/s; the log reaches the size at which it is compacted while the disks are replaced.
    const auto append_for = [&](duration time) {
        for (const time_point end = group.time() + time; group.time() < end;) {
            group.propose(16UL * 1024);
            group.advance(5ms);
        }
    };
    append_for(2s);
    const instance_id leader = group.leader().value();
    std::vector<instance_id> lost;
    for (const instance_id& id : group.ids) {
        if (id != leader && lost.size() < 2 && group.is_voter(id)) {
            lost.push_back(id);
        }
    }
    for (const instance_id& id : lost) {
        group.stop(id);
        group.erase_disk(id);
    }
    append_for(2s);
    for (const instance_id& id : lost) {
        group.start(id);
    }
    const time_point returned_at = group.time();
    while (group.bearable_losses() != 2 && group.time() < returned_at + 20s) {
        append_for(10ms);
    }
    return group.time() - returned_at;
}

const member first_voter{instance_id("a"), disk_id(1)};
const member second_voter{instance_id("b"), disk_id(1)};
const member lost_voter{instance_id("c"), disk_id(1)};
const member returned_voter{instance_id("c"), disk_id(2)};

/// The member "a" of three, with a stored state and a manual clock.
struct single_member {
    explicit single_member(const stored_state& stored)
        : raft(first_voter, {second_voter.id, lost_voter.id}, stored, limits(), 1, now) {}

    static replica_limits limits() {
        replica_limits changed;
        changed.desired_voters = 3;
        return changed;
    }
    void start_pre_vote() {
        this->now = this->raft.next_wakeup();
        static_cast<void>(this->raft.handle_timer(this->now));
    }
    /// Whether the vote makes it ask for binding votes, or lead.
    bool proceeds_with_vote_of(const member& voter, bool is_pre_vote) {
        const term_number asked(this->raft.term().value() + (is_pre_vote ? 1 : 0));
        const term_number before = this->raft.term();
        static_cast<void>(
            this->raft.handle(vote_response{asked, voter, true, is_pre_vote}, this->now));
        return this->raft.term() > before || this->raft.is_leader();
    }
    void accept_all_of(const member& follower) {
        static_cast<void>(
            this->raft.handle(append_entries_response{this->raft.term(), follower, true,
                                                      this->raft.last_index(), this->now},
                              this->now));
    }

    time_point now{1s};
    replica raft;
};

constexpr duration redundancy_target = 2s;
constexpr std::size_t megabyte = 1'000'000;
/// Size of the state for which the target is stated.
constexpr std::size_t target_megabytes = 25;

} // namespace

// Guards against accepted jobs that could not be read after a second loss of disks, since the disks
// of the first were not replaced in time.
SCENARIO("redundancy is restored within 2 s after two voters lost their disks") {
    std::size_t members = 0;
    SUBCASE("no standby is left") {
        members = 5;
    }
    SUBCASE("one standby is left") {
        members = 6;
    }
    SUBCASE("two standbys are left") {
        members = 7;
    }
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        CHECK(time_to_redundancy(seed, {members, target_megabytes * megabyte}) <=
              redundancy_target);
    }
}

// Guards against a lost disk that stays unreplaced, although its new one holds everything, because
// another lost one comes first and has not caught up.
SCENARIO("each of two lost disks is replaced as soon as its new one has caught up") {
    for (const std::size_t unresponsive : {0, 1}) {
        CAPTURE(unresponsive);
        cluster group(1, 5, cluster::initial_group{5});
        group.is_ordered = true;
        group.advance(4s);
        for (int i = 0; i < 10; ++i) {
            group.propose();
            group.advance(50ms);
        }
        std::vector<instance_id> lost;
        for (const instance_id& id : group.ids) {
            if (id != group.leader() && lost.size() < 2) {
                lost.push_back(id);
            }
        }
        for (const instance_id& id : lost) {
            group.stop(id);
            group.erase_disk(id);
        }
        group.advance(1s);
        for (const instance_id& id : lost) {
            group.start(id);
        }
        // Time to ask to join, and not to receive anything.
        group.advance(10ms);
        group.freeze(lost[unresponsive], true);
        group.advance(1s);
        CHECK(group.bearable_losses() == 1);
    }
}

// Guards against a new disk that becomes a voter without the log, by what the lost one had said.
SCENARIO("a response of a lost disk does not count for the disk that replaces it") {
    stored_state stored;
    stored.snapshot_voters.voters = {first_voter, second_voter, lost_voter};
    single_member leader(stored);
    leader.start_pre_vote();
    REQUIRE(leader.proceeds_with_vote_of(second_voter, true));
    REQUIRE(leader.proceeds_with_vote_of(second_voter, false));
    leader.accept_all_of(second_voter);
    static_cast<void>(leader.raft.handle(join_request{returned_voter}, leader.now));
    leader.accept_all_of(lost_voter);
    leader.accept_all_of(second_voter);
    CHECK(leader.raft.voters().voters == stored.snapshot_voters.voters);
}

// Guards against two leaders in one term: the lost disk may have voted for another candidate.
SCENARIO(
    "a member that takes the place of a lost disk has no vote before the change is committed") {
    log_entry entry;
    entry.term = term_number(1);
    entry.change = membership{{first_voter, second_voter, returned_voter}, returned_voter.id};
    stored_state stored;
    stored.term = term_number(1);
    stored.snapshot_voters.voters = {first_voter, second_voter, lost_voter};
    stored.entries = {entry};
    single_member candidate(stored);
    candidate.start_pre_vote();
    CHECK_FALSE(candidate.proceeds_with_vote_of(returned_voter, true));
    CHECK(candidate.proceeds_with_vote_of(second_voter, true));
    CHECK_FALSE(candidate.proceeds_with_vote_of(returned_voter, false));
    CHECK(candidate.proceeds_with_vote_of(second_voter, false));
}

SCENARIO("the time to redundancy grows no faster than the state") {
    for (const std::size_t megabytes : {12, 50}) {
        for (const std::size_t members : {5, 6, 7}) {
            CAPTURE(megabytes);
            CAPTURE(members);
            const duration time = time_to_redundancy(1, {members, megabytes * megabyte});
            MESSAGE("state MB: ", megabytes, ", standbys: ", members - 5,
                    ", ms: ", std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
            CHECK(time <= std::max<duration>(redundancy_target,
                                             redundancy_target * megabytes / target_megabytes));
        }
    }
}

// Guards against a state of the membership in which the loss of as many disks as the group bears
// then, and the power of all others, takes away what was accepted.
SCENARIO("what is accepted survives closings at any moment of a change of the voters") {
    std::size_t closings = 0;
    std::size_t with_lost_disks = 0;
    std::vector<std::uint64_t> seeds(200);
    std::iota(seeds.begin(), seeds.end(), 1);
    // A leader that had appended its own removal, which no other member held.
    seeds.push_back(1166);
    for (const std::uint64_t seed : seeds) {
        CAPTURE(seed);
        const int voters = seed % 2 == 0 ? 3 : 5;
        cluster group(seed, voters + static_cast<int>(seed % 4), cluster::initial_group{voters});
        group.advance(4s);
        for (int round = 0; round < 4; ++round) {
            CAPTURE(round);
            for (std::uint64_t step = 0; step < 4 + group.random() % 12; ++step) {
                const instance_id id = group.ids[group.random() % group.ids.size()];
                switch (group.random() % 8) {
                case 0:
                    if (group.spare_voters() >= 1) {
                        group.stop(id);
                        group.erase_disk(id);
                        group.advance(duration(100ms) * static_cast<int>(group.random() % 30));
                        group.start(id);
                    }
                    break;
                case 1:
                    group.stop(id);
                    break;
                case 2:
                    if (!group.is_running(id)) {
                        group.start(id);
                    }
                    break;
                case 3:
                    group.set_leaving(id);
                    break;
                case 4:
                    group.compact(id);
                    break;
                case 5:
                    group.isolate(id);
                    break;
                default:
                    group.propose();
                    break;
                }
                group.advance(duration(5ms) * static_cast<int>(group.random() % 120));
            }
            group.propose();
            group.advance(duration(5ms) * static_cast<int>(group.random() % 40));
            const int spare = std::max(group.spare_voters(), 0);
            std::vector<instance_id> order = group.ids;
            std::shuffle(order.begin(), order.end(), group.random);
            order.resize(group.random() % (static_cast<std::size_t>(spare) + 1));
            const std::string accepted = group.accepted_commands();
            for (const instance_id& id : group.ids) {
                group.stop(id);
            }
            for (const instance_id& id : order) {
                group.erase_disk(id);
            }
            group.heal();
            group.set_leaving(instance_id());
            for (const instance_id& id : group.ids) {
                group.start(id);
            }
            group.advance(8s);
            INFO("disks lost at the closing: ", order.size(), " of ", spare);
            INFO(group.describe());
            REQUIRE(group.leader());
            CHECK(group.applied(*group.leader()).starts_with(accepted));
            ++closings;
            with_lost_disks += order.empty() ? 0 : 1;
            group.advance(4s);
        }
    }
    MESSAGE("closings: ", closings, ", with lost disks: ", with_lost_disks);
    CHECK(with_lost_disks >= closings / 4);
}

// Guards against a new disk that is held back by the new disk of another voter.
SCENARIO("a lost disk is replaced although another voter that lost its disk is gone") {
    GIVEN("five voters, no standby, and two of them with new disks") {
        cluster group(1, 5, cluster::initial_group{5});
        group.is_ordered = true;
        group.advance(4s);
        for (int i = 0; i < 20; ++i) {
            group.propose(64UL * 1024);
            group.advance(10ms);
        }
        for (const instance_id& id : group.ids) {
            group.compact(id);
        }
        const instance_id leader = group.leader().value();
        std::vector<instance_id> lost;
        for (const instance_id& id : group.ids) {
            if (id != leader && lost.size() < 2) {
                lost.push_back(id);
            }
        }
        for (const instance_id& id : lost) {
            group.stop(id);
            group.erase_disk(id);
        }
        group.advance(2s);
        WHEN("both return, and the first goes again before it holds the state") {
            group.start(lost[0]);
            group.advance(25ms);
            group.stop(lost[0]);
            group.start(lost[1]);
            group.advance(6s);
            THEN("the second one is a voter, and the group bears a loss") {
                INFO(group.describe());
                CHECK(group.is_voter(lost[1]));
                CHECK(group.bearable_losses() == 1);
            }
        }
    }
}

// Guards against a voter that counts as lost because of what its former disk sent.
SCENARIO("a late message in the name of a former disk leaves the voter with the new one") {
    GIVEN("five voters, one of which has replaced its disk") {
        cluster group(1, 5, cluster::initial_group{5});
        group.is_ordered = true;
        group.advance(4s);
        const instance_id leader = group.leader().value();
        const instance_id replaced = group.ids[0] == leader ? group.ids[1] : group.ids[0];
        const member former = group.identity(replaced);
        group.stop(replaced);
        group.erase_disk(replaced);
        group.start(replaced);
        group.advance(2s);
        REQUIRE(group.has_recovered_disks());
        REQUIRE(group.bearable_losses() == 2);
        const auto check_redundancy = [&] {
            group.advance(10s);
            INFO(group.describe());
            CHECK(group.leader() == leader);
            CHECK(group.bearable_losses() == 2);
        };
        WHEN("a request to join of the former disk arrives") {
            group.deliver(leader, join_request{former});
            THEN("the group bears two losses") {
                check_redundancy();
            }
        }
        WHEN("a request for a vote of the former disk arrives") {
            vote_request late;
            late.candidate = former;
            late.is_pre_vote = true;
            group.deliver(leader, late);
            THEN("the group bears two losses") {
                check_redundancy();
            }
        }
    }
}

// Guards against a retirement, or the replacement of a lost disk, that ends with a voter which is
// gone: the group then bears one loss less than it reports to its operator.
SCENARIO("a standby that has just gone takes no voter's place") {
    GIVEN("five voters and two standbys, of which the first has just gone") {
        cluster group(1, 7, cluster::initial_group{5});
        group.is_ordered = true;
        group.advance(4s);
        const instance_id leader = group.leader().value();
        const instance_id gone("f");
        const instance_id replaced = group.ids[0] == leader ? group.ids[1] : group.ids[0];
        REQUIRE(!group.is_voter(gone));
        group.stop(gone);
        group.advance(700ms);
        WHEN("a voter is to leave") {
            group.set_leaving(replaced);
            group.advance(1s);
            THEN("the other standby has its place") {
                CAPTURE(group.voters());
                CHECK(group.voters().find(gone.value()) == std::string::npos);
                CHECK(group.voters().find(replaced.value()) == std::string::npos);
                CHECK(group.bearable_losses() == 2);
            }
        }
        WHEN("a voter returns with a new disk") {
            group.stop(replaced);
            group.erase_disk(replaced);
            group.advance(20ms);
            group.start(replaced);
            group.advance(1s);
            THEN("the other standby has its place") {
                CAPTURE(group.voters());
                CHECK(group.voters().find(gone.value()) == std::string::npos);
                CHECK(group.bearable_losses() == 2);
            }
        }
    }
}

// Guards against accepted commands that no member can serve: a leader that had gone counted as
// present for as long as the next election took, and disks were lost meanwhile.
SCENARIO("a leader that is gone is replaced as soon as a follower that is gone") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster group(seed, 7, cluster::initial_group{5});
        group.is_ordered = true;
        group.advance(4s);
        const instance_id leader = group.leader().value();
        const instance_id follower = leader == group.ids[0] ? group.ids[1] : group.ids[0];
        const instance_id& gone = seed % 2 == 0 ? leader : follower;
        CAPTURE((gone == leader));
        group.stop(gone);
        group.advance(group.limits.absence_timeout + 2 * group.limits.heartbeat_interval + 200ms);
        REQUIRE(group.leader());
        CAPTURE(group.voters());
        CHECK(group.voters().find(gone.value()) == std::string::npos);
        CHECK(group.bearable_losses() == 2);
    }
}

// Guards against two voters that are gone and still count when a third disk may be lost: the loss
// of the leader began the time anew after which the first one counts as absent.
SCENARIO(
    "a lost disk is borne although the leader went just before an absent voter's replacement") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster group(seed, 7, cluster::initial_group{5});
        group.is_ordered = true;
        group.advance(4s);
        const instance_id leader = group.leader().value();
        group.stop(leader == group.ids[0] ? group.ids[1] : group.ids[0]);
        group.advance(group.limits.absence_timeout - 100ms);
        group.stop(leader);
        // A voter that is gone stops to count as lost 6 s later, when its successor has caught up.
        group.advance(6s - (group.limits.absence_timeout - 100ms));
        REQUIRE(group.leader());
        CAPTURE(group.voters());
        CHECK(group.bearable_losses().value() >= 1);
    }
}

// Guards against a retirement that ends while the voter that stands in has gone unnoticed.
SCENARIO("a leaving voter stays until the one that stands in for it responds") {
    GIVEN("five voters and two standbys, of which the first goes this moment") {
        cluster group(1, 7, cluster::initial_group{5});
        group.is_ordered = true;
        group.advance(4s);
        const instance_id leader = group.leader().value();
        const instance_id gone("f");
        const instance_id replaced = group.ids[0] == leader ? group.ids[1] : group.ids[0];
        group.stop(gone);
        group.advance(100ms);
        WHEN("a voter is to leave") {
            group.set_leaving(replaced);
            THEN("it is a voter until the other standby has its place") {
                bool is_covered = true;
                for (int i = 0; i < 1000; ++i) {
                    group.advance(10ms);
                    is_covered = is_covered && group.bearable_losses().value() >= 1 &&
                                 (group.voters().find(replaced.value()) != std::string::npos ||
                                  group.voters().find(gone.value()) == std::string::npos);
                }
                CAPTURE(group.voters());
                CHECK(is_covered);
                CHECK(group.voters().find(replaced.value()) == std::string::npos);
                CHECK(group.bearable_losses() == 2);
            }
        }
    }
}

// Guards against accepted commands that are lost since a group which formed without some of its
// members does not take them in before losses are to be borne again.
SCENARIO("a group that forms without the tolerated losses bears them once the missing have come") {
    // A member counts as lost until this time after its start.
    constexpr duration catch_up_time = 4700ms;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        const int tolerated = seed % 2 == 0 ? 1 : 2;
        cluster group(seed, 2 * tolerated + 1,
                      cluster::initial_group{tolerated + 1, 2 * tolerated + 1});
        const std::vector<instance_id> missing(group.ids.begin() + tolerated + 1, group.ids.end());
        for (const instance_id& id : missing) {
            group.stop(id);
        }
        group.advance(4s);
        for (int i = 0; i < 20; ++i) {
            group.propose();
            group.advance(50ms);
        }
        CHECK(group.accepted() == 20);
        for (const instance_id& id : missing) {
            group.start(id);
        }
        for (duration waited{}; waited < catch_up_time; waited += 50ms) {
            group.propose();
            group.advance(50ms);
        }
        CHECK(group.bearable_losses() == tolerated);
        const std::string accepted = group.accepted_commands();
        std::vector<instance_id> lost = group.ids;
        std::shuffle(lost.begin(), lost.end(), group.random);
        lost.resize(static_cast<std::size_t>(tolerated));
        for (const instance_id& id : group.ids) {
            group.stop(id);
        }
        for (const instance_id& id : lost) {
            group.erase_disk(id);
        }
        for (const instance_id& id : group.ids) {
            group.start(id);
        }
        group.advance(8s);
        REQUIRE(group.leader());
        CHECK(group.applied(*group.leader()).starts_with(accepted));
    }
}
