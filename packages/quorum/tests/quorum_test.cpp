#include "quorum/replica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace kingcupcart;
using namespace kingcupcart::quorum;
using namespace std::chrono_literals;

namespace {

/// Keepers under a manual clock with a network that loses, repeats, delays and cuts, processes that
/// freeze and restart, and disks that are emptied. What a keeper keeps is synced at once.
class cluster {
public:
    cluster(std::uint64_t seed, int size) : random(seed) {
        for (int i = 0; i < size; ++i) {
            this->ids.emplace_back(std::string(1, static_cast<char>('a' + i)));
        }
        for (const instance_id& id : this->ids) {
            this->nodes[id].disk = disk_id(this->random());
            this->start(id);
        }
        this->execute(this->ids[0], this->nodes[this->ids[0]].part->found(this->now));
    }

    /// Keepers that all were told the same founders, the first `founders` of them; the rest are
    /// standbys. Nobody founds alone.
    struct founded_by {
        int initial_members;
    };
    cluster(std::uint64_t seed, int size, founded_by told) : random(seed) {
        this->limits.voters_wanted = static_cast<std::size_t>(told.initial_members);
        membership founding;
        for (int i = 0; i < size; ++i) {
            this->ids.emplace_back(std::string(1, static_cast<char>('a' + i)));
            if (i < told.initial_members) {
                founding.voters.push_back({this->ids.back(), disk_id(1)});
            }
        }
        for (const instance_id& id : this->ids) {
            this->nodes[id].disk = disk_id(1);
            this->nodes[id].stored.snapshot_voters = founding;
            this->start(id);
        }
    }

    /// Identifiers of the leader's voters, in order.
    std::string voters() {
        const auto at = this->leader();
        std::set<std::string> names;
        if (at) {
            for (const member& voter : this->nodes[*at].part->voters().voters) {
                names.insert(voter.id.value());
            }
        }
        std::string text;
        for (const std::string& name : names) {
            text += name;
        }
        return text;
    }
    void set_leaving(const instance_id& id) {
        this->leaving = {id};
        for (auto& [other, one] : this->nodes) {
            if (one.part) {
                one.part->set_leaving(this->leaving);
            }
        }
    }

    void pass(duration time) {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 5ms;
            while (!this->network.empty() && this->network.top().moment <= this->now) {
                const letter next = this->network.top();
                this->network.pop();
                node& receiver = this->nodes[next.to];
                if (receiver.part && !receiver.is_frozen && !this->is_cut(next.from, next.to)) {
                    this->execute(next.to, receiver.part->handle(next.content, this->now));
                }
            }
            for (const instance_id& id : this->ids) {
                node& one = this->nodes[id];
                if (one.part && !one.is_frozen && one.part->next_wakeup() <= this->now) {
                    this->execute(id, one.part->handle_timer(this->now));
                }
            }
        }
    }

    std::optional<instance_id> leader() {
        for (const instance_id& id : this->ids) {
            const node& one = this->nodes[id];
            if (one.part && !one.is_frozen && one.part->is_leader() &&
                one.part->voters().voters.size() > 0) {
                return id;
            }
        }
        return std::nullopt;
    }

    bool has_voters(std::size_t count) {
        const auto found = this->leader();
        return found && this->nodes[*found].part->voters().voters.size() == count;
    }

    /// Proposes at whoever leads; the command counts as accepted when it is applied anywhere.
    void propose(std::size_t padding = 0) {
        if (const auto at = this->leader()) {
            const std::string command =
                "c" + std::to_string(++this->last_command) + std::string(padding, '.');
            auto made = this->nodes[*at].part->propose(command, this->now);
            this->execute(*at, made.wanted);
        }
    }

    void stop(const instance_id& id) { this->nodes[id].part.reset(); }
    void start(const instance_id& id) {
        node& one = this->nodes[id];
        std::vector<instance_id> others;
        for (const instance_id& other : this->ids) {
            if (other != id) {
                others.push_back(other);
            }
        }
        one.applied = one.saved;
        one.part = std::make_unique<replica>(member{id, one.disk}, others, one.stored, this->limits,
                                             this->random(), this->now);
        one.part->set_leaving(this->leaving);
    }
    void empty_disk(const instance_id& id) {
        node& one = this->nodes[id];
        one.stored = stored_state{};
        one.saved.clear();
        one.disk = disk_id(this->random());
    }
    void freeze(const instance_id& id, bool is_frozen) { this->nodes[id].is_frozen = is_frozen; }
    void cut_off(const instance_id& id) { this->isolated = id; }
    void heal() { this->isolated.reset(); }
    void compact(const instance_id& id) {
        node& one = this->nodes[id];
        if (one.part) {
            this->execute(id, one.part->compact(one.applied_index));
        }
    }
    [[nodiscard]] const std::string& applied(const instance_id& id) {
        return this->nodes[id].applied;
    }
    [[nodiscard]] bool is_running(const instance_id& id) { return this->nodes[id].part != nullptr; }
    [[nodiscard]] instance_id known_leader(const instance_id& id) {
        return this->nodes[id].part->leader();
    }
    [[nodiscard]] std::size_t accepted() const { return this->history.size(); }

    std::vector<instance_id> ids;
    std::mt19937_64 random;
    double loss = 0;
    replica_limits limits;
    std::map<instance_id, std::size_t> entries_sent_to;
    std::map<instance_id, std::size_t> bytes_sent_to;
    bool is_ordered = false;

private:
    std::set<instance_id> leaving;
    struct node {
        std::unique_ptr<replica> part;
        stored_state stored;
        disk_id disk;
        bool is_frozen = false;
        /// The applied commands, one after the other.
        std::string applied;
        /// The same at the snapshot.
        std::string saved;
        log_index applied_index;
    };
    struct letter {
        time_point moment;
        std::uint64_t number = 0;
        instance_id from;
        instance_id to;
        message content;

        friend bool operator>(const letter& a, const letter& b) {
            return std::tie(a.moment, a.number) > std::tie(b.moment, b.number);
        }
    };

    bool is_cut(const instance_id& from, const instance_id& to) const {
        return this->isolated && (from == *this->isolated) != (to == *this->isolated);
    }

    void execute(const instance_id& id, const actions& wanted) {
        for (const action& one : wanted) {
            std::visit([&](const auto& alternative) { this->execute(id, alternative); }, one);
        }
    }
    void execute(const instance_id& id, const persist_vote& kept) {
        stored_state& stored = this->nodes[id].stored;
        CHECK(kept.term >= stored.term);
        stored.term = kept.term;
        stored.voted_for = kept.voted_for;
    }
    void execute(const instance_id& id, const persist_entries& kept) {
        stored_state& stored = this->nodes[id].stored;
        stored.entries.resize(kept.first.value() - stored.snapshot_index.value() - 1);
        stored.entries.insert(stored.entries.end(), kept.entries.begin(), kept.entries.end());
    }
    void execute(const instance_id& id, const persist_snapshot& kept) {
        stored_state& stored = this->nodes[id].stored;
        stored.snapshot_index = kept.index;
        stored.snapshot_term = kept.index_term;
        stored.snapshot_voters = kept.voters;
        this->nodes[id].saved = kept.data == nullptr ? this->nodes[id].applied : join(kept.data);
        this->nodes[id].applied_index = kept.index;
        stored.entries.clear();
    }
    void execute(const instance_id& id, const send_message& sent) {
        if (const auto* entries = std::get_if<append_entries_request>(&sent.content)) {
            this->entries_sent_to[sent.to] += entries->entries.size();
            for (const log_entry& one : entries->entries) {
                this->bytes_sent_to[sent.to] += one.command.size();
            }
        }
        std::bernoulli_distribution lost(this->loss);
        const int copies = lost(this->random) ? 0 : (lost(this->random) ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            // Links are TCP connections: what is sent first arrives first, where a test wants it
            // so.
            const duration delay = this->is_ordered
                                       ? duration(20ms)
                                       : duration(2ms) * static_cast<int>(1 + this->random() % 10);
            this->network.push({this->now + delay, ++this->last_letter, id, sent.to, sent.content});
        }
    }
    void execute(const instance_id& id, const apply_command& agreed) {
        node& one = this->nodes[id];
        one.applied += agreed.command + ";";
        one.applied_index = agreed.index;
        const auto known = this->history.emplace(agreed.index, agreed.command);
        // Whatever one keeper took for agreed at an index, all others do.
        CHECK(known.first->second == agreed.command);
    }
    void execute(const instance_id& id, const restore_state& restored) {
        this->nodes[id].applied = join(restored.data);
    }
    void execute(const instance_id& id, const send_piece& wanted) {
        const snapshot_pieces pieces = split(this->nodes[id].saved);
        install_snapshot_request sent = wanted.content;
        sent.piece_count = pieces->size();
        sent.piece = std::min<std::uint64_t>(sent.piece, sent.piece_count - 1);
        sent.data = pieces->at(sent.piece);
        this->execute(id, send_message{wanted.to, sent});
    }
    /// Pieces of some commands.
    static snapshot_pieces split(const std::string& state) {
        constexpr std::size_t size = 40;
        std::vector<std::string> pieces;
        for (std::size_t at = 0; at == 0 || at < state.size(); at += size) {
            pieces.push_back(state.substr(at, size));
        }
        return std::make_shared<const std::vector<std::string>>(std::move(pieces));
    }
    static std::string join(const snapshot_pieces& pieces) {
        std::string state;
        for (const std::string& piece : *pieces) {
            state += piece;
        }
        return state;
    }
    void execute(const instance_id& id, const leadership_changed& changed) {
        if (changed.is_leader) {
            const term_number term = this->nodes[id].part->term();
            const auto known = this->leaders.emplace(term, id);
            CHECK(known.first->second == id); // at most one leader a term
        }
    }

    std::map<instance_id, node> nodes;
    time_point now{1s};
    std::priority_queue<letter, std::vector<letter>, std::greater<>> network;
    std::optional<instance_id> isolated;
    std::map<log_index, std::string> history;
    std::map<term_number, instance_id> leaders;
    std::uint64_t last_letter = 0;
    std::uint64_t last_command = 0;
};

/// Stops all, and starts all but one again, for each of them.
void check_restarts_without_one(cluster& keepers) {
    for (const instance_id& missing : keepers.ids) {
        for (const instance_id& id : keepers.ids) {
            keepers.stop(id);
        }
        for (const instance_id& id : keepers.ids) {
            if (id != missing) {
                keepers.start(id);
            }
        }
        keepers.pass(5s);
        CAPTURE(missing.value());
        REQUIRE(keepers.leader());
        CHECK(keepers.applied(*keepers.leader()).find("c10;") != std::string::npos);
        keepers.start(missing);
        keepers.pass(5s);
    }
}

} // namespace

SCENARIO("keepers found, join and agree") {
    cluster keepers(1, 3);
    keepers.pass(5s);
    REQUIRE(keepers.has_voters(3));
    for (int i = 0; i < 10; ++i) {
        keepers.propose();
        keepers.pass(50ms);
    }
    keepers.pass(1s);
    CHECK(keepers.accepted() == 10);
    const instance_id first = *keepers.leader();
    GIVEN("the leader is lost") {
        keepers.stop(first);
        keepers.pass(5s);
        THEN("another one leads, and nothing is lost") {
            REQUIRE(keepers.leader());
            keepers.propose();
            keepers.pass(1s);
            CHECK(keepers.accepted() == 11);
        }
    }
    GIVEN("one is cut off for long and comes back") {
        const instance_id other = keepers.ids[0] == first ? keepers.ids[1] : keepers.ids[0];
        keepers.cut_off(other);
        keepers.pass(60s);
        keepers.heal();
        keepers.pass(5s);
        THEN("it did not unseat the leader") {
            CHECK(keepers.leader() == first);
        }
    }
    GIVEN("a keeper that was away for hundreds of changes and a log that was compacted") {
        const instance_id other = keepers.ids[0] == first ? keepers.ids[1] : keepers.ids[0];
        keepers.stop(other);
        for (int i = 0; i < 300; ++i) {
            keepers.propose();
            keepers.pass(20ms);
        }
        keepers.pass(1s);
        keepers.compact(first);
        keepers.start(other);
        keepers.pass(3s);
        THEN("it catches up from the snapshot") {
            CHECK(keepers.applied(other) == keepers.applied(first));
        }
    }
    GIVEN("an emptied disk, and the loss of a second keeper right after the repair") {
        const instance_id other = keepers.ids[0] == first ? keepers.ids[1] : keepers.ids[0];
        keepers.stop(other);
        keepers.empty_disk(other);
        keepers.start(other);
        keepers.pass(5s);
        REQUIRE(keepers.has_voters(3));
        keepers.stop(first);
        keepers.pass(5s);
        THEN("the repaired keeper and the last one go on with everything that was accepted") {
            REQUIRE(keepers.leader());
            keepers.propose();
            keepers.pass(1s);
            CHECK(keepers.accepted() == 11);
        }
    }
    GIVEN("all are stopped, and any one does not come back") {
        check_restarts_without_one(keepers);
    }
    GIVEN("a repaired keeper, and all are stopped, and any one does not come back") {
        const instance_id other = keepers.ids[0] == first ? keepers.ids[1] : keepers.ids[0];
        keepers.stop(other);
        keepers.empty_disk(other);
        keepers.start(other);
        keepers.pass(5s);
        check_restarts_without_one(keepers);
    }
    GIVEN("an emptied disk while the leader is lost too") {
        const instance_id other = keepers.ids[0] == first ? keepers.ids[1] : keepers.ids[0];
        keepers.stop(first);
        keepers.stop(other);
        keepers.empty_disk(other);
        keepers.start(other);
        keepers.pass(20s);
        THEN("nobody leads, since the emptied one cannot vote on what it forgot") {
            CHECK_FALSE(keepers.leader());
            keepers.start(first);
            keepers.pass(10s);
            CHECK(keepers.has_voters(3));
            CHECK(keepers.applied(other) == keepers.applied(first));
        }
    }
}

SCENARIO("a group founds itself and keeps itself at strength") {
    GIVEN("three that were told the same founders, and none of them starts alone") {
        cluster keepers(21, 3, cluster::founded_by{3});
        keepers.pass(3s);
        THEN("they elect a leader and agree") {
            REQUIRE(keepers.leader());
            keepers.propose();
            keepers.pass(1s);
            CHECK(keepers.accepted() == 1);
        }
    }
    GIVEN("one founder that never starts") {
        cluster keepers(22, 3, cluster::founded_by{3});
        keepers.stop(keepers.ids[0]);
        keepers.pass(3s);
        THEN("the majority does without it") {
            CHECK(keepers.leader());
        }
    }
    GIVEN("three voters and a standby") {
        cluster keepers(23, 4, cluster::founded_by{3});
        keepers.pass(3s);
        keepers.propose();
        keepers.pass(2s);
        REQUIRE(keepers.voters() == "abc");
        WHEN("a voter is gone for good") {
            const instance_id gone =
                *keepers.leader() == keepers.ids[1] ? keepers.ids[2] : keepers.ids[1];
            keepers.stop(gone);
            keepers.pass(8s);
            THEN("the standby takes its place, and another loss is borne") {
                CHECK(keepers.voters().size() == 3);
                CHECK(keepers.voters().find('d') != std::string::npos);
                CHECK(keepers.voters().find(gone.value()) == std::string::npos);
                keepers.stop(*keepers.leader());
                keepers.pass(4s);
                CHECK(keepers.leader());
            }
            AND_THEN("the lost one comes back as a standby and does not disturb") {
                const instance_id leader = *keepers.leader();
                keepers.start(gone);
                keepers.pass(5s);
                CHECK(*keepers.leader() == leader);
                CHECK(keepers.voters().size() == 3);
                keepers.propose();
                keepers.pass(1s);
                CHECK(keepers.applied(gone) == keepers.applied(leader));
            }
        }
        WHEN("a voter is to leave, the leader too") {
            for (const std::size_t index : {0U, 1U}) {
                const instance_id leader = *keepers.leader();
                const instance_id goes = index == 0                 ? leader
                                         : keepers.ids[2] == leader ? keepers.ids[1]
                                                                    : keepers.ids[2];
                CAPTURE(index);
                cluster one(24 + index, 4, cluster::founded_by{3});
                one.pass(3s);
                one.set_leaving(index == 0 ? *one.leader() : goes);
                one.pass(8s);
                THEN("the standby replaces it") {
                    CHECK(one.voters().size() == 3);
                    CHECK(one.voters().find('d') != std::string::npos);
                }
            }
        }
        WHEN("a voter's disk is emptied while a standby waits") {
            const instance_id emptied =
                *keepers.leader() == keepers.ids[1] ? keepers.ids[2] : keepers.ids[1];
            keepers.stop(emptied);
            keepers.empty_disk(emptied);
            keepers.start(emptied);
            keepers.pass(5s);
            THEN("three voters hold everything, one of them with the new disk") {
                CHECK(keepers.voters().size() == 3);
                CHECK(keepers.applied(emptied) == keepers.applied(*keepers.leader()));
            }
        }
    }
}

SCENARIO("a large group keeps its log on few members") {
    GIVEN("three voters and five more members") {
        cluster keepers(41, 8, cluster::founded_by{3});
        keepers.pass(3s);
        for (int i = 0; i < 10; ++i) {
            keepers.propose();
            keepers.pass(100ms);
        }
        keepers.pass(1s);
        REQUIRE(keepers.leader());
        const auto holders = [&] {
            return std::count_if(keepers.ids.begin(), keepers.ids.end(), [&](const auto& id) {
                return keepers.is_running(id) && keepers.applied(id).size() >= 10 &&
                       keepers.applied(id) == keepers.applied(*keepers.leader());
            });
        };
        THEN("two standbys hold it beside the voters, and all know who leads") {
            CHECK(holders() == 5);
            for (const instance_id& id : keepers.ids) {
                CHECK(keepers.known_leader(id) == *keepers.leader());
            }
        }
        WHEN("two voters are gone for good, one after the other, and a standby") {
            for (int i = 0; i < 2; ++i) {
                const std::string voters = keepers.voters();
                const auto gone = std::find_if(
                    keepers.ids.begin(), keepers.ids.end(), [&](const instance_id& id) {
                        return id != *keepers.leader() &&
                               voters.find(id.value()) != std::string::npos;
                    });
                keepers.stop(*gone);
                keepers.pass(8s);
            }
            const auto standby =
                std::find_if(keepers.ids.begin(), keepers.ids.end(), [&](const instance_id& id) {
                    return keepers.is_running(id) &&
                           keepers.voters().find(id.value()) == std::string::npos &&
                           keepers.applied(id) == keepers.applied(*keepers.leader());
                });
            REQUIRE(standby != keepers.ids.end());
            keepers.stop(*standby);
            keepers.pass(8s);
            keepers.propose();
            keepers.pass(1s);
            THEN("three voters stand again, with two standbys") {
                CHECK(keepers.voters().size() == 3);
                CHECK(holders() == 5);
            }
        }
    }
}

SCENARIO("a member that catches up is sent each entry about once") {
    GIVEN("three keepers with a long log, and a standby that comes while proposals go on") {
        cluster keepers(31, 4, cluster::founded_by{3});
        keepers.is_ordered = true;
        keepers.stop(keepers.ids[3]);
        keepers.pass(3s);
        for (int i = 0; i < 1500; ++i) {
            keepers.propose();
            keepers.pass(5ms);
        }
        keepers.start(keepers.ids[3]);
        const std::size_t before = keepers.entries_sent_to[keepers.ids[3]];
        for (int i = 0; i < 400; ++i) {
            keepers.propose();
            keepers.pass(5ms);
        }
        keepers.pass(1s);
        THEN("it has them all, and few were sent twice") {
            CHECK(keepers.applied(keepers.ids[3]) == keepers.applied(*keepers.leader()));
            const std::size_t sent = keepers.entries_sent_to[keepers.ids[3]] - before;
            CHECK(sent >= 1900);
            CHECK(sent <= 2400);
        }
    }
}

SCENARIO("a follower that stands still is not sent more than a little ahead") {
    GIVEN("three keepers, one of which is frozen while large commands are agreed") {
        cluster keepers(51, 3, cluster::founded_by{3});
        keepers.is_ordered = true;
        keepers.pass(3s);
        const instance_id leader = *keepers.leader();
        const instance_id frozen = leader == keepers.ids[0] ? keepers.ids[1] : keepers.ids[0];
        keepers.freeze(frozen, true);
        const std::size_t before = keepers.bytes_sent_to[frozen];
        for (int i = 0; i < 100; ++i) {
            keepers.propose(100UL * 1024);
            keepers.pass(10ms);
        }
        THEN("what is under way to it stays within the limit") {
            CHECK(keepers.accepted() >= 90);
            CHECK(keepers.bytes_sent_to[frozen] - before <=
                  keepers.limits.bytes_in_flight + 100UL * 1024);
        }
        WHEN("it goes on") {
            keepers.freeze(frozen, false);
            keepers.pass(5s);
            THEN("it has everything") {
                CHECK(keepers.applied(frozen) == keepers.applied(leader));
            }
        }
    }
}

SCENARIO("nothing that was accepted is lost under any mixture of failures") {
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        cluster keepers(seed, seed % 2 == 0 ? 3 : 5);
        keepers.pass(8s);
        keepers.loss = 0.05;
        std::optional<instance_id> emptied;
        for (int step = 0; step < 150; ++step) {
            const instance_id id = keepers.ids[keepers.random() % keepers.ids.size()];
            switch (keepers.random() % 12) {
            case 0:
                keepers.stop(id);
                break;
            case 1:
                if (!keepers.is_running(id)) {
                    keepers.start(id);
                }
                break;
            case 2:
                keepers.cut_off(id);
                break;
            case 3:
                keepers.heal();
                break;
            case 4:
                keepers.freeze(id, true);
                keepers.pass(2s);
                keepers.freeze(id, false);
                break;
            case 5:
                keepers.compact(id);
                break;
            case 6:
                // One disk at a time: the next is emptied when all vote again.
                if (keepers.has_voters(keepers.ids.size()) && (!emptied || step % 40 == 0)) {
                    emptied = id;
                    keepers.stop(id);
                    keepers.empty_disk(id);
                    keepers.start(id);
                    keepers.pass(3s);
                }
                break;
            default:
                keepers.propose();
                break;
            }
            keepers.pass(duration(20ms) * static_cast<int>(keepers.random() % 20));
        }
        keepers.heal();
        keepers.loss = 0;
        for (const instance_id& id : keepers.ids) {
            if (!keepers.is_running(id)) {
                keepers.start(id);
            }
        }
        keepers.pass(20s);
        REQUIRE(keepers.leader());
        for (const instance_id& id : keepers.ids) {
            CHECK(keepers.applied(id) == keepers.applied(*keepers.leader()));
        }
        accepted += keepers.accepted();
    }
    MESSAGE("commands accepted over all seeds: ", accepted);
}
