#include "quorum/replica.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::quorum;
using namespace std::chrono_literals;

namespace {

const member local{instance_id("a"), disk_id(1)};
const member sender{instance_id("b"), disk_id(1)};
const member other{instance_id("c"), disk_id(1)};
const log_index snapshot_end{10};

/// The member "a" of three, whose log is empty, under a manual clock.
struct receiver {
    receiver() : raft(local, {sender.id, other.id}, make_stored(), {}, 1, now) {}

    static stored_state make_stored() {
        stored_state stored;
        stored.term = term_number(2);
        stored.snapshot_voters = {{local, sender, other}, instance_id()};
        return stored;
    }
    /// Receives one of two pieces, and returns the state that it restores, empty if none.
    std::string receive(term_number term, std::uint64_t piece, const std::string& data) {
        install_snapshot_request request;
        request.term = term;
        request.leader = sender;
        request.index = snapshot_end;
        request.index_term = term_number(1);
        request.voters = make_stored().snapshot_voters;
        request.piece = piece;
        request.piece_count = 2;
        request.data = data;
        request.sent_at = this->now;
        std::string restored;
        for (const action& next : this->raft.handle(request, this->now)) {
            if (const auto* state = std::get_if<restore_state>(&next)) {
                for (const std::string& part : *state->data) {
                    restored += part;
                }
            }
        }
        return restored;
    }
    /// Receives the log up to the end of the snapshot.
    void receive_log(term_number term, const member& leader, std::size_t entries) {
        append_entries_request request;
        request.term = term;
        request.leader = leader;
        request.entries.resize(entries);
        for (log_entry& entry : request.entries) {
            entry.term = term_number(1);
        }
        request.committed = snapshot_end;
        request.sent_at = this->now;
        static_cast<void>(this->raft.handle(request, this->now));
    }

    time_point now{1s};
    replica raft;
};

} // namespace

// Guards against a state that is put together from pieces of two encodings: a leader that leads
// again sends the state at the same index anew, and the follower kept the pieces it had.
SCENARIO("a snapshot consists of pieces that were sent in one term") {
    GIVEN("a follower that has received the first of two pieces") {
        receiver follower;
        CHECK(follower.receive(term_number(2), 0, "old-1 ").empty());
        WHEN("the same leader sends the other one") {
            THEN("the state is restored") {
                CHECK(follower.receive(term_number(2), 1, "old-2") == "old-1 old-2");
            }
        }
        WHEN("it leads again, and sends the state in other pieces") {
            const std::string first = follower.receive(term_number(3), 0, "new-1 ");
            const std::string second = follower.receive(term_number(3), 1, "new-2");
            THEN("the state is restored from these") {
                CHECK(first.empty());
                CHECK(second == "new-1 new-2");
            }
        }
        WHEN("it leads again, and the second of its pieces arrives first") {
            const std::string first = follower.receive(term_number(3), 1, "new-2");
            const std::string second = follower.receive(term_number(3), 0, "new-1 ");
            THEN("nothing is restored before both have arrived") {
                CHECK(first.empty());
                CHECK(second == "new-1 new-2");
            }
        }
    }
}

// Guards against a state that stays in memory beside the one that is in use.
SCENARIO("pieces of a snapshot that is not completed are released") {
    GIVEN("a follower that has received the first of two pieces") {
        receiver follower;
        CHECK(follower.receive(term_number(2), 0, std::string(1000, '.')).empty());
        REQUIRE(follower.raft.incoming_snapshot_bytes() == 1000);
        WHEN("a heartbeat of the same leader arrives") {
            follower.receive_log(term_number(2), sender, 0);
            THEN("it keeps them") {
                CHECK(follower.raft.incoming_snapshot_bytes() == 1000);
            }
        }
        WHEN("it catches up by log") {
            follower.receive_log(term_number(2), sender, 10);
            THEN("it holds none") {
                CHECK(follower.raft.committed() == snapshot_end);
                CHECK(follower.raft.incoming_snapshot_bytes() == 0);
            }
        }
        WHEN("another leader is elected") {
            follower.receive_log(term_number(3), other, 0);
            THEN("it holds none, since nobody sends the others") {
                CHECK(follower.raft.incoming_snapshot_bytes() == 0);
            }
        }
        WHEN("it campaigns itself") {
            follower.now = follower.raft.next_wakeup();
            static_cast<void>(follower.raft.handle_timer(follower.now));
            static_cast<void>(follower.raft.handle(vote_response{term_number(3), other, true, true},
                                                   follower.now));
            THEN("it holds none") {
                CHECK(follower.raft.term() == term_number(3));
                CHECK(follower.raft.incoming_snapshot_bytes() == 0);
            }
        }
    }
}
