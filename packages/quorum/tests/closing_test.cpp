#include "quorum/replica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::quorum;
using namespace std::chrono_literals;

namespace {

constexpr duration tick = 5ms;
constexpr std::size_t tolerated_losses = 2;
constexpr std::size_t first_members = 7;
/// A member counts as lost until this time after its return.
constexpr duration catch_up_time = 6s;
/// After an outage, a group whose members are back leads and commits within this time.
constexpr duration recovery_time = 15s;

/// A group under a manual clock whose members change while commands are committed. Each member
/// syncs what it persists some time after the replica asked for it, and only then sends and applies
/// what depends on it, as a replicated log does. A loss of power takes a part of what was not
/// synced; a kill takes nothing.
class changing_group {
public:
    explicit changing_group(std::uint64_t seed) : random(seed) {
        this->limits.desired_voters = 2 * tolerated_losses + 1;
        membership initial;
        for (std::size_t i = 0; i < first_members; ++i) {
            const instance_id id = this->add();
            if (initial.voters.size() < this->limits.desired_voters) {
                initial.voters.push_back({id, this->nodes.at(id).disk});
            }
        }
        for (auto& [id, created] : this->nodes) {
            created.synced.state.snapshot_voters = initial;
            created.written = created.synced;
            this->start(id);
        }
    }

    struct node {
        std::unique_ptr<replica> raft;
        disk_id disk;
        time_point disk_since{};
        struct content {
            stored_state state;
            /// The commands that the newest snapshot covers, in order.
            std::vector<std::string> snapshot;
        };
        content synced;
        /// With what is not synced yet.
        content written;
        std::vector<action> unsynced;
        /// What awaits the sync.
        actions deferred;
        std::optional<time_point> sync_ends;
        std::vector<std::string> applied;
        log_index applied_index;
        std::optional<time_point> starts_at;
        time_point lost_until{};
        bool is_gone = false;
    };

    instance_id add() {
        instance_id id("m" + std::to_string(++this->last_member));
        node& created = this->nodes[id];
        created.disk = disk_id(this->random());
        created.disk_since = this->now;
        for (auto& [other, existing] : this->nodes) {
            if (existing.raft) {
                existing.raft->set_peers(this->peers_of(other));
            }
        }
        return id;
    }

    void start(const instance_id& id) {
        node& started = this->nodes.at(id);
        started.starts_at.reset();
        started.written = started.synced;
        started.unsynced.clear();
        started.deferred.clear();
        started.sync_ends.reset();
        started.applied = started.synced.snapshot;
        started.applied_index = started.synced.state.snapshot_index;
        started.raft = std::make_unique<replica>(member{id, started.disk}, this->peers_of(id),
                                                 started.synced.state, this->limits, this->random(),
                                                 this->now);
        started.raft->set_leaving(this->leaving);
    }

    void kill(const instance_id& id) {
        node& stopped = this->nodes.at(id);
        stopped.synced = stopped.written;
        stopped.raft.reset();
    }
    void lose_power(const instance_id& id) {
        node& stopped = this->nodes.at(id);
        const std::size_t kept = this->draw(stopped.unsynced.size() + 1);
        for (std::size_t i = 0; i < kept; ++i) {
            persist(stopped.synced, stopped.unsynced[i]);
        }
        stopped.raft.reset();
    }
    void lose_disk(const instance_id& id) {
        node& stopped = this->nodes.at(id);
        stopped.raft.reset();
        stopped.synced = {};
        stopped.disk = disk_id(this->random());
        stopped.disk_since = this->now;
    }
    /// The member never returns.
    void remove(const instance_id& id) {
        node& removed = this->nodes.at(id);
        removed.raft.reset();
        removed.starts_at.reset();
        removed.is_gone = true;
    }
    void return_after(const instance_id& id, duration time) {
        this->nodes.at(id).starts_at = this->now + time;
        this->lose_until(id, this->now + time + catch_up_time);
    }
    void lose_until(const instance_id& id, time_point moment) {
        time_point& lost_until = this->nodes.at(id).lost_until;
        lost_until = std::max(lost_until, moment);
    }
    /// Who was lost before the group was stopped has the time to catch up once more.
    void extend_losses(duration down) {
        for (auto& [id, stopped] : this->nodes) {
            if (stopped.lost_until > this->now) {
                this->lose_until(id, this->now + down + catch_up_time);
            }
        }
    }
    /// The disk refuses a write: the log resigns, drops what is not synced, and is read again.
    void refuse_write(const instance_id& id) {
        node& refused = this->nodes.at(id);
        for (const action& next : refused.raft->resign(this->now)) {
            if (const auto* sent = std::get_if<send_message>(&next)) {
                this->send(id, *sent);
            }
        }
        refused.raft.reset();
        refused.starts_at = this->now + 250ms;
    }
    void isolate(std::set<instance_id> members, duration time) {
        this->isolated = std::move(members);
        this->isolated_until = this->now + time;
        for (const instance_id& id : this->isolated) {
            this->lose_until(id, this->now + time + catch_up_time);
        }
    }
    void heal() { this->isolated.clear(); }
    void set_leaving(const std::set<instance_id>& changed) {
        this->leaving = changed;
        for (auto& [id, existing] : this->nodes) {
            if (existing.raft) {
                existing.raft->set_leaving(changed);
            }
        }
    }

    void advance(duration time) {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += tick;
            if (this->now >= this->isolated_until) {
                this->isolated.clear();
            }
            this->deliver();
            for (auto& [id, current] : this->nodes) {
                if (current.starts_at && *current.starts_at <= this->now) {
                    this->start(id);
                }
                if (current.raft && current.raft->next_wakeup() <= this->now) {
                    this->execute(id, current.raft->handle_timer(this->now));
                }
                if (current.raft && current.sync_ends && *current.sync_ends <= this->now) {
                    this->finish_sync(id);
                }
            }
            if (!this->is_idle && this->draw(4) == 0) {
                this->propose();
            }
            if (!this->is_idle && this->draw(400) == 0) {
                const auto chosen =
                    std::next(this->nodes.begin(),
                              static_cast<std::ptrdiff_t>(this->draw(this->nodes.size())));
                this->compact(chosen->first);
            }
        }
    }

    void compact(const instance_id& id) {
        node& compacted = this->nodes.at(id);
        if (compacted.raft && compacted.deferred.empty()) {
            this->execute(id, compacted.raft->compact(compacted.raft->committed()));
        }
    }

    [[nodiscard]] std::optional<instance_id> leader() const {
        std::optional<instance_id> newest;
        for (const auto& [id, current] : this->nodes) {
            if (current.raft && current.raft->is_leader() &&
                (!newest || current.raft->term() > this->nodes.at(*newest).raft->term())) {
                newest = id;
            }
        }
        return newest;
    }
    /// Members that exist and run, without those that count as lost.
    [[nodiscard]] std::vector<instance_id> sound_members() const {
        std::vector<instance_id> found;
        for (const auto& [id, current] : this->nodes) {
            if (current.raft && current.lost_until <= this->now && !this->leaving.contains(id)) {
                found.push_back(id);
            }
        }
        return found;
    }
    [[nodiscard]] std::size_t lost_count() const {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(),
                          [this](const auto& item) { return item.second.lost_until > this->now; }));
    }
    [[nodiscard]] bool is_voter(const instance_id& id) const {
        const auto at = this->leader();
        if (!at) {
            return true;
        }
        const auto& voters = this->nodes.at(*at).raft->voters().voters;
        return !this->nodes.at(*at).raft->is_membership_committed() ||
               std::any_of(voters.begin(), voters.end(),
                           [&](const member& voter) { return voter.id == id; });
    }
    [[nodiscard]] std::size_t acknowledged() const { return this->acks.size(); }
    /// Whether the leader's state holds every acknowledged command.
    [[nodiscard]] bool holds_acknowledged() const {
        const auto at = this->leader();
        if (!at) {
            return false;
        }
        const auto& applied = this->nodes.at(*at).applied;
        const std::set<std::string> held(applied.begin(), applied.end());
        return std::includes(held.begin(), held.end(), this->acks.begin(), this->acks.end());
    }
    [[nodiscard]] std::size_t draw(std::size_t below) { return this->random() % below; }
    [[nodiscard]] duration draw_time(duration shortest, duration longest) {
        return shortest + tick * static_cast<int>(this->draw(
                                     static_cast<std::size_t>((longest - shortest) / tick + 1)));
    }

    std::map<instance_id, node> nodes;
    time_point now{10s};
    std::set<instance_id> leaving;
    /// No commands are proposed.
    bool is_idle = false;

private:
    struct envelope {
        time_point moment;
        std::uint64_t number = 0;
        instance_id from;
        instance_id to;
        message content;

        friend bool operator>(const envelope& a, const envelope& b) {
            return std::tie(a.moment, a.number) > std::tie(b.moment, b.number);
        }
    };

    [[nodiscard]] std::vector<instance_id> peers_of(const instance_id& id) const {
        std::vector<instance_id> found;
        for (const auto& [other, existing] : this->nodes) {
            if (other != id) {
                found.push_back(other);
            }
        }
        return found;
    }

    void propose() {
        const auto at = this->leader();
        if (at) {
            auto proposal = this->nodes.at(*at).raft->propose(
                "c" + std::to_string(++this->last_command), this->now);
            this->execute(*at, proposal.resulting_actions);
        }
    }
    void deliver() {
        while (!this->network.empty() && this->network.top().moment <= this->now) {
            const envelope next = this->network.top();
            this->network.pop();
            node& receiver = this->nodes.at(next.to);
            const bool is_cut =
                this->isolated.contains(next.from) != this->isolated.contains(next.to);
            if (receiver.raft && !is_cut) {
                this->execute(next.to, receiver.raft->handle(next.content, this->now));
            }
        }
    }
    void send(const instance_id& from, const send_message& sent) {
        // The delay of a link is fixed, so that its messages stay in order.
        const std::pair<instance_id, instance_id> link(std::minmax(from, sent.to));
        const auto delay = this->delays.try_emplace(link, this->draw_time(5ms, 30ms));
        this->network.push(
            {this->now + delay.first->second, ++this->last_message, from, sent.to, sent.content});
    }

    void execute(const instance_id& id, const actions& pending) {
        node& current = this->nodes.at(id);
        for (std::size_t i = 0; i < pending.size(); ++i) {
            if (const auto* snapshot = std::get_if<persist_snapshot>(&pending[i])) {
                // The rewritten file is synced before it replaces the old one.
                current.written.snapshot =
                    snapshot->data == nullptr ? current.applied : join(*snapshot->data);
                persist(current.written, pending[i]);
                persist(current.written, pending.at(++i));
                // The replica sends the pieces by their sizes, as the ones that are stored.
                std::vector<std::size_t>& sizes = current.written.state.snapshot_piece_bytes;
                sizes.clear();
                for (const std::string& piece : split(current.written.snapshot)) {
                    sizes.push_back(piece.size());
                }
                current.raft->set_snapshot_pieces(sizes);
                current.synced = current.written;
                current.unsynced.clear();
            } else if (std::holds_alternative<persist_vote>(pending[i]) ||
                       std::holds_alternative<persist_entries>(pending[i])) {
                persist(current.written, pending[i]);
                current.unsynced.push_back(pending[i]);
            } else {
                current.deferred.push_back(pending[i]);
            }
        }
        if (!current.sync_ends) {
            // Some syncs take longer than a round trip, so that what depends on them shows.
            current.sync_ends =
                this->now + this->draw_time(0ms, this->draw(10) == 0 ? 200ms : 10ms);
        }
    }
    static void persist(node::content& disk, const action& change) {
        stored_state& state = disk.state;
        if (const auto* vote = std::get_if<persist_vote>(&change)) {
            state.term = vote->term;
            state.voted_for = vote->voted_for;
        } else if (const auto* appended = std::get_if<persist_entries>(&change)) {
            state.entries.resize(appended->first.value() - state.snapshot_index.value() - 1);
            state.entries.insert(state.entries.end(), appended->entries.begin(),
                                 appended->entries.end());
        } else {
            const auto& snapshot = std::get<persist_snapshot>(change);
            state.snapshot_index = snapshot.index;
            state.snapshot_term = snapshot.index_term;
            state.snapshot_voters = snapshot.voters;
            state.entries.clear();
        }
    }
    void finish_sync(const instance_id& id) {
        node& current = this->nodes.at(id);
        current.synced = current.written;
        current.unsynced.clear();
        current.sync_ends.reset();
        for (const action& next : std::exchange(current.deferred, {})) {
            if (const auto* sent = std::get_if<send_message>(&next)) {
                this->send(id, *sent);
            } else if (const auto* committed = std::get_if<apply_command>(&next)) {
                current.applied.push_back(committed->command);
                const auto known = this->history.emplace(committed->index, committed->command);
                CHECK(known.first->second == committed->command);
                if (current.raft->is_leader()) {
                    this->acks.insert(committed->command);
                }
            } else if (const auto* restored = std::get_if<restore_state>(&next)) {
                current.applied = join(*restored->data);
            } else if (const auto* piece = std::get_if<send_snapshot_piece>(&next)) {
                this->send_piece(id, *piece);
            }
        }
    }
    void send_piece(const instance_id& id, const send_snapshot_piece& requested) {
        const node& current = this->nodes.at(id);
        if (requested.content.index != current.raft->compacted()) {
            return;
        }
        install_snapshot_request sent = requested.content;
        const std::vector<std::string> pieces = split(current.synced.snapshot);
        CHECK(sent.piece_count == pieces.size());
        sent.data = pieces.at(sent.piece);
        this->send(id, send_message{requested.to, sent});
    }
    /// Three pieces, each with a part of the commands; few, so that the time that a large state
    /// takes to be sent is no matter here.
    static std::vector<std::string> split(const std::vector<std::string>& commands) {
        std::vector<std::string> pieces(3);
        for (std::size_t i = 0; i < commands.size(); ++i) {
            pieces[i * pieces.size() / commands.size()] += commands[i] + ';';
        }
        return pieces;
    }
    static std::vector<std::string> join(const std::vector<std::string>& pieces) {
        std::vector<std::string> commands;
        for (const std::string& piece : pieces) {
            for (std::size_t begin = 0; begin < piece.size();) {
                const std::size_t end = piece.find(';', begin);
                commands.push_back(piece.substr(begin, end - begin));
                begin = end + 1;
            }
        }
        return commands;
    }

    std::mt19937_64 random;
    replica_limits limits;
    std::priority_queue<envelope, std::vector<envelope>, std::greater<>> network;
    std::map<std::pair<instance_id, instance_id>, duration> delays;
    std::set<instance_id> isolated;
    time_point isolated_until{};
    std::map<log_index, std::string> history;
    std::set<std::string> acks;
    std::uint64_t last_message = 0;
    std::uint64_t last_command = 0;
    std::uint64_t last_member = 0;
};

enum class change {
    none,
    retirement,
    retirement_and_disks,
    lost_disks,
    replacement,
    planned_replacement,
    additional_members,
    cut,
    powerless,
    kills,
    refused_writes,
    count
};

enum class outage { disks, disks_and_power, power, kills, count };

/// Draws failures and changes of members for a group, within what may be lost at once.
class scenario {
public:
    explicit scenario(std::uint64_t seed) : group(seed) {}

    void begin(change drawn) {
        switch (drawn) {
        case change::retirement:
        case change::retirement_and_disks:
            this->retire(drawn == change::retirement_and_disks);
            break;
        case change::lost_disks:
            this->lose_disks(1 + this->group.draw(2), 500ms, 3s);
            break;
        case change::replacement:
            if (const auto id = this->draw_loss(this->chance(2))) {
                const duration wait = this->group.draw_time(0ms, 1s);
                this->group.remove(*id);
                this->group.advance(wait);
                const instance_id successor = this->group.add();
                this->group.return_after(successor, 0ms);
                this->group.lose_until(*id, this->group.now + catch_up_time);
            }
            break;
        case change::planned_replacement:
            if (const auto id = this->draw_loss(this->chance(2))) {
                const instance_id successor = this->group.add();
                this->group.return_after(successor, 0ms);
                this->group.lose_until(*id, this->group.now + catch_up_time);
                this->group.advance(this->group.draw_time(0ms, 3s));
                this->group.remove(*id);
            }
            break;
        case change::additional_members:
            for (std::size_t i = 0; i < 2; ++i) {
                this->group.nodes.at(this->group.add()).starts_at = this->group.now;
            }
            break;
        case change::cut: {
            std::set<instance_id> cut;
            for (std::size_t i = 1 + this->group.draw(2); i > 0; --i) {
                if (const auto id = this->draw_loss(this->chance(2))) {
                    this->group.lose_until(*id, this->group.now + catch_up_time);
                    cut.insert(*id);
                }
            }
            this->group.isolate(cut, this->group.draw_time(500ms, 5s));
            break;
        }
        case change::powerless:
            for (std::size_t i = 1 + this->group.draw(2); i > 0; --i) {
                if (const auto id = this->draw_loss(this->chance(3))) {
                    this->group.lose_power(*id);
                    this->group.return_after(*id, this->group.draw_time(500ms, 4s));
                }
            }
            break;
        case change::kills:
            this->group.extend_losses(1s);
            for (const instance_id& id : this->group.sound_members()) {
                if (this->chance(2)) {
                    this->group.kill(id);
                    this->group.nodes.at(id).starts_at =
                        this->group.now + this->group.draw_time(100ms, 1s);
                }
            }
            break;
        case change::refused_writes:
            if (const auto id = this->draw_loss(this->chance(2))) {
                this->group.refuse_write(*id);
            }
            break;
        case change::none:
        case change::count:
            break;
        }
    }

    void strike(outage drawn) {
        const duration down = this->group.draw_time(1s, 4s);
        this->group.extend_losses(down + 300ms);
        const bool loses_disks = drawn == outage::disks || drawn == outage::disks_and_power;
        if (loses_disks) {
            this->lose_disks(tolerated_losses, down, down);
        }
        for (auto& [id, other] : this->group.nodes) {
            if (drawn == outage::disks || !other.raft) {
                continue;
            }
            if (drawn == outage::kills) {
                this->group.kill(id);
            } else {
                this->group.lose_power(id);
            }
            other.starts_at = this->group.now + down + this->group.draw_time(0ms, 300ms);
        }
        this->group.heal();
    }

    changing_group group;

private:
    [[nodiscard]] bool chance(std::size_t one_of) { return this->group.draw(one_of) == 0; }

    /// A member that may be lost now; the leader, if it may be.
    [[nodiscard]] std::optional<instance_id> draw_loss(bool prefers_leader) {
        std::vector<instance_id> sound = this->group.sound_members();
        if (this->group.lost_count() >= tolerated_losses || sound.empty()) {
            return std::nullopt;
        }
        std::optional<instance_id> leader = this->group.leader();
        if (prefers_leader && leader &&
            std::find(sound.begin(), sound.end(), *leader) != sound.end()) {
            return leader;
        }
        return sound[this->group.draw(sound.size())];
    }
    void lose_disks(std::size_t count, duration shortest, duration longest) {
        enum class order : std::size_t { any, oldest, leader_first };
        const auto drawn = static_cast<order>(this->group.draw(3));
        for (std::size_t i = 0; i < count; ++i) {
            auto id = this->draw_loss(drawn == order::leader_first && i == 0);
            if (!id) {
                return;
            }
            if (drawn == order::oldest) {
                const auto sound = this->group.sound_members();
                id = *std::min_element(sound.begin(), sound.end(),
                                       [this](const instance_id& a, const instance_id& b) {
                                           return this->group.nodes.at(a).disk_since <
                                                  this->group.nodes.at(b).disk_since;
                                       });
            }
            this->group.lose_disk(*id);
            this->group.return_after(*id, this->group.draw_time(shortest, longest));
        }
    }
    /// A member is emptied, and removed once it is no voter any more.
    void retire(bool loses_disks) {
        const auto sound = this->group.sound_members();
        if (sound.size() <= first_members - tolerated_losses) {
            return;
        }
        const instance_id& id = sound[this->group.draw(sound.size())];
        this->group.set_leaving({id});
        for (int i = 0; i < 800 && this->group.is_voter(id); ++i) {
            this->group.advance(tick);
        }
        const bool is_drained = !this->group.is_voter(id);
        if (is_drained) {
            this->group.remove(id);
            if (loses_disks) {
                this->lose_disks(tolerated_losses, 500ms, 2s);
            }
        }
        this->group.set_leaving({});
    }
};

} // namespace

SCENARIO("nothing acknowledged is lost when an outage meets a change of the members") {
    std::size_t acknowledged = 0;
    std::uint64_t first_seed = 1;
    std::uint64_t last_seed = 40;
    if (const char* given = std::getenv("OUTAGE_SEEDS")) {
        const std::string range = given;
        first_seed = std::stoull(range);
        last_seed = std::stoull(range.substr(range.find('-') + 1));
    }
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
        CAPTURE(seed);
        scenario played(seed);
        changing_group& group = played.group;
        group.advance(3s);
        for (int round = 0; round < 4; ++round) {
            CAPTURE(round);
            for (std::size_t i = 1 + group.draw(3); i > 0; --i) {
                const auto drawn =
                    static_cast<change>(group.draw(static_cast<std::size_t>(change::count)));
                CAPTURE(drawn);
                played.begin(drawn);
                group.advance(group.draw_time(0ms, group.draw(2) == 0 ? 200ms : 4s));
            }
            if (group.draw(2) == 0) {
                // As many disks as are tolerated may be lost as soon as nothing counts as lost.
                while (group.lost_count() > 0) {
                    group.advance(tick);
                }
            }
            const auto drawn =
                static_cast<outage>(group.draw(static_cast<std::size_t>(outage::count)));
            CAPTURE(drawn);
            played.strike(drawn);
            const std::size_t before = group.acknowledged();
            group.advance(4s + 300ms);
            for (int i = 0; i < recovery_time / tick && group.acknowledged() == before; ++i) {
                group.advance(tick);
            }
            REQUIRE(group.acknowledged() > before);
            CHECK(group.holds_acknowledged());
            group.advance(group.draw_time(0ms, 8s));
        }
        acknowledged += group.acknowledged();
    }
    MESSAGE("commands acknowledged over all seeds: ", acknowledged);
}

// Guards against a group without traffic that never restored its redundancy: the leader took the
// snapshot for a lack of committed entries of its own term.
SCENARIO("a lost disk is replaced while no commands are proposed") {
    GIVEN("a leader whose log ends with its snapshot") {
        changing_group group(1);
        group.advance(3s);
        group.is_idle = true;
        group.advance(1s);
        const instance_id leader = group.leader().value();
        const replica& leading = *group.nodes.at(leader).raft;
        // No snapshot is taken while messages await a sync.
        for (int i = 0; i < 100 && leading.compacted() < leading.last_index(); ++i) {
            group.compact(leader);
            group.advance(tick);
        }
        REQUIRE(leading.compacted() == leading.last_index());
        WHEN("another voter loses its disk and returns") {
            const auto& voters = leading.voters().voters;
            const member lost =
                *std::find_if(voters.begin(), voters.end(),
                              [&](const member& voter) { return voter.id != leader; });
            group.lose_disk(lost.id);
            group.return_after(lost.id, 1s);
            group.advance(1s + catch_up_time);
            THEN("there are as many voters as before, none with the lost disk") {
                REQUIRE(group.leader() == leader);
                CHECK(voters.size() == 2 * tolerated_losses + 1);
                CHECK(std::all_of(voters.begin(), voters.end(), [&](const member& voter) {
                    return voter.disk == group.nodes.at(voter.id).disk;
                }));
                CHECK(std::count(voters.begin(), voters.end(), lost) == 0);
                CHECK(leading.is_committed_voter());
                CHECK(leading.bearable_losses(group.now) == static_cast<int>(tolerated_losses));
                CHECK(leading.standby_count() == first_members - voters.size());
            }
        }
    }
}
