#pragma once

#include "quorum/replica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace kingcupcart::quorum {

using namespace std::chrono_literals;

/// A group of replicas under a manual clock. Its network loses, duplicates, delays and blocks
/// messages; members freeze and restart; disks are erased. Whatever a replica persists is synced at
/// once.
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
        this->execute(this->ids[0], this->nodes[this->ids[0]].raft->bootstrap(this->now));
    }

    /// A group in which every member starts with the same initial voters, which are the first
    /// `initial_members` of them; the rest are standbys. No member bootstraps the group alone.
    struct initial_group {
        int initial_members = 0;
        /// The voters to maintain; others join until there are as many.
        int desired_voters = initial_members;
    };
    cluster(std::uint64_t seed, int size, initial_group group) : random(seed) {
        this->limits.desired_voters = static_cast<std::size_t>(group.desired_voters);
        membership initial_voters;
        for (int i = 0; i < size; ++i) {
            this->ids.emplace_back(std::string(1, static_cast<char>('a' + i)));
            if (i < group.initial_members) {
                initial_voters.voters.push_back({this->ids.back(), disk_id(1)});
            }
        }
        for (const instance_id& id : this->ids) {
            this->nodes[id].disk = disk_id(1);
            this->nodes[id].stored.snapshot_voters = initial_voters;
            this->start(id);
        }
    }

    /// Identifiers of the leader's voters, in order.
    std::string voters() {
        const auto at = this->leader();
        std::set<std::string> names;
        if (at) {
            for (const member& voter : this->nodes[*at].raft->voters().voters) {
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
        for (auto& [other, member_node] : this->nodes) {
            if (member_node.raft) {
                member_node.raft->set_leaving(this->leaving);
            }
        }
    }

    void advance(duration time) {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += 5ms;
            while (!this->network.empty() && this->network.top().moment <= this->now) {
                const queued_message next = this->network.top();
                this->network.pop();
                node& receiver = this->nodes[next.to];
                if (receiver.is_frozen && this->keeps_backlog) {
                    receiver.backlog.push_back(next.content);
                } else if (receiver.raft && !receiver.is_frozen &&
                           !this->is_separated(next.from, next.to)) {
                    this->execute(next.to, receiver.raft->handle(next.content, this->now));
                }
            }
            for (const instance_id& id : this->ids) {
                node& member_node = this->nodes[id];
                if (member_node.raft && !member_node.is_frozen &&
                    member_node.raft->next_wakeup() <= this->now) {
                    this->execute(id, member_node.raft->handle_timer(this->now));
                }
                if (this->compacts_by_growth && member_node.raft &&
                    member_node.raft->is_compaction_due(member_node.log_bytes,
                                                        member_node.saved.size())) {
                    this->compact(id);
                }
            }
        }
    }

    std::optional<instance_id> leader() {
        for (const instance_id& id : this->ids) {
            const node& member_node = this->nodes[id];
            if (member_node.raft && !member_node.is_frozen && member_node.raft->is_leader() &&
                !member_node.raft->voters().voters.empty()) {
                return id;
            }
        }
        return std::nullopt;
    }

    /// Whether every member is a committed voter with the disk that it has now: one whose disk was
    /// erased stays in the membership under the old disk until it has been replaced.
    bool has_recovered_disks() {
        const auto at = this->leader();
        return at && this->nodes[*at].raft->is_committed_voter() &&
               std::all_of(this->ids.begin(), this->ids.end(), [&](const instance_id& id) {
                   const auto& voters = this->nodes[*at].raft->voters().voters;
                   const member current{id, this->nodes[id].disk};
                   return std::find(voters.begin(), voters.end(), current) != voters.end();
               });
    }

    [[nodiscard]] std::optional<int> bearable_losses() {
        const auto at = this->leader();
        return at ? this->nodes[*at].raft->bearable_losses(this->now) : std::nullopt;
    }
    /// The same from what the members have stored: the lowest number, over the memberships of all
    /// members that count themselves as voters, of voters whose disk is the one that is counted,
    /// beyond a majority.
    [[nodiscard]] int spare_voters() {
        int spare = static_cast<int>(this->ids.size());
        for (const auto& [id, member_node] : this->nodes) {
            membership view = member_node.stored.snapshot_voters;
            for (const log_entry& entry : member_node.stored.entries) {
                view = entry.change.value_or(view);
            }
            if (std::find(view.voters.begin(), view.voters.end(), member{id, member_node.disk}) ==
                view.voters.end()) {
                continue;
            }
            const auto valid =
                std::count_if(view.voters.begin(), view.voters.end(), [&](const member& voter) {
                    return voter.id != view.joining && this->nodes[voter.id].disk == voter.disk;
                });
            spare = std::min(spare, static_cast<int>(valid) -
                                        (static_cast<int>(view.voters.size()) / 2 + 1));
        }
        return spare;
    }
    /// The members' terms, logs and voters, for the message of a failed check.
    [[nodiscard]] std::string describe() {
        std::string text;
        for (const auto& [id, member_node] : this->nodes) {
            text += id.value() + ":";
            if (member_node.raft) {
                text += " term " + std::to_string(member_node.raft->term().value()) + " last " +
                        std::to_string(member_node.raft->last_index().value()) + " committed " +
                        std::to_string(member_node.raft->committed().value()) + " voters";
                for (const member& voter : member_node.raft->voters().voters) {
                    text += " " + voter.id.value() +
                            (this->nodes[voter.id].disk == voter.disk ? "" : "(lost)");
                }
                text += " joining " + member_node.raft->voters().joining.value();
            }
            text += "\n";
        }
        return text;
    }
    /// Every accepted command, in order.
    [[nodiscard]] std::string accepted_commands() const {
        std::string commands;
        for (const auto& [index, command] : this->history) {
            commands += command + ";";
        }
        return commands;
    }
    [[nodiscard]] time_point time() const { return this->now; }
    [[nodiscard]] term_number term(const instance_id& id) { return this->nodes[id].raft->term(); }
    [[nodiscard]] log_index last_index(const instance_id& id) {
        return this->nodes[id].raft->last_index();
    }
    [[nodiscard]] std::size_t log_bytes(const instance_id& id) { return this->nodes[id].log_bytes; }

    bool has_voters(std::size_t count) {
        const auto at = this->leader();
        return at && this->nodes[*at].raft->voters().voters.size() == count;
    }

    /// Proposes a command to the leader; it counts as accepted when any replica applies it.
    void propose(std::size_t padding = 0) {
        if (const auto at = this->leader()) {
            this->propose_at(*at, padding);
        }
    }
    void propose_at(const instance_id& id, std::size_t padding = 0) {
        const std::string command =
            "c" + std::to_string(++this->last_command) + std::string(padding, '.');
        auto proposal = this->nodes[id].raft->propose(command, this->now);
        this->execute(id, proposal.resulting_actions);
    }

    void resign(const instance_id& id) {
        this->execute(id, this->nodes[id].raft->resign(this->now));
    }
    void stop(const instance_id& id) { this->nodes[id].raft.reset(); }
    void start(const instance_id& id) {
        node& member_node = this->nodes[id];
        std::vector<instance_id> peers;
        for (const instance_id& other : this->ids) {
            if (other != id) {
                peers.push_back(other);
            }
        }
        member_node.applied = member_node.saved;
        member_node.raft =
            std::make_unique<replica>(member{id, member_node.disk}, peers, member_node.stored,
                                      this->limits, this->random(), this->now);
        member_node.raft->set_leaving(this->leaving);
    }
    void erase_disk(const instance_id& id) {
        node& member_node = this->nodes[id];
        member_node.stored = stored_state{};
        member_node.saved.clear();
        member_node.log_bytes = 0;
        member_node.disk = disk_id(this->random());
    }
    void freeze(const instance_id& id, bool is_frozen) { this->nodes[id].is_frozen = is_frozen; }
    /// Wakes the member, which handles the next message that arrived while it was frozen. Returns
    /// false if there is none.
    bool handle_backlog(const instance_id& id) {
        node& member_node = this->nodes[id];
        member_node.is_frozen = false;
        if (member_node.backlog.empty()) {
            return false;
        }
        const message next = member_node.backlog.front();
        member_node.backlog.pop_front();
        this->execute(id, member_node.raft->handle(next, this->now));
        return true;
    }
    [[nodiscard]] bool has_lease(const instance_id& id) {
        return this->nodes[id].raft->has_recent_majority_contact(this->now);
    }
    /// Hands a message to a member, as from a connection that delivers it late.
    void deliver(const instance_id& id, const message& content) {
        this->execute(id, this->nodes[id].raft->handle(content, this->now));
    }
    [[nodiscard]] member identity(const instance_id& id) { return {id, this->nodes[id].disk}; }
    void isolate(const instance_id& id) { this->isolated = id; }
    void heal() { this->isolated.reset(); }
    /// Nothing arrives of what the member sends, until `unmute`; it receives as before.
    void mute(const instance_id& id) { this->muted = id; }
    void unmute() { this->muted.reset(); }
    void compact(const instance_id& id) {
        node& member_node = this->nodes[id];
        if (member_node.raft) {
            this->execute(id, member_node.raft->compact(member_node.applied_index));
        }
    }
    [[nodiscard]] const std::string& applied(const instance_id& id) {
        return this->nodes[id].applied;
    }
    [[nodiscard]] bool is_voter(const instance_id& id) { return this->nodes[id].raft->is_voter(); }
    [[nodiscard]] bool is_running(const instance_id& id) { return this->nodes[id].raft != nullptr; }
    [[nodiscard]] instance_id known_leader(const instance_id& id) {
        return this->nodes[id].raft->leader();
    }
    [[nodiscard]] std::size_t accepted() const { return this->history.size(); }

    std::vector<instance_id> ids;
    std::mt19937_64 random;
    double loss = 0;
    replica_limits limits;
    std::map<instance_id, std::size_t> entries_sent_to;
    std::map<instance_id, std::size_t> bytes_sent_to;
    bool is_ordered = false;
    /// One way, while `is_ordered`.
    duration delay = 20ms;
    /// Of each member's link for what it sends; 0 if unlimited.
    std::size_t link_bytes_per_second = 0;
    /// Whether members take a snapshot once their log has grown enough.
    bool compacts_by_growth = false;
    /// Size of the pieces of a snapshot; by default, a few commands each.
    std::size_t piece_bytes = 40;
    /// Whether messages to a frozen member wait for it, as in the buffers of its sockets.
    bool keeps_backlog = false;

private:
    std::set<instance_id> leaving;
    struct node {
        std::unique_ptr<replica> raft;
        stored_state stored;
        disk_id disk;
        bool is_frozen = false;
        std::deque<message> backlog;
        /// The applied commands, in order.
        std::string applied;
        /// The same, as of the latest snapshot.
        std::string saved;
        log_index applied_index;
        /// Bytes of commands in the log since the latest snapshot.
        std::size_t log_bytes = 0;
        /// When the member's link is free for the next message.
        time_point link_free_at{};
    };
    struct queued_message {
        time_point moment;
        std::uint64_t number = 0;
        instance_id from;
        instance_id to;
        message content;

        friend bool operator>(const queued_message& a, const queued_message& b) {
            return std::tie(a.moment, a.number) > std::tie(b.moment, b.number);
        }
    };

    bool is_separated(const instance_id& from, const instance_id& to) const {
        return from == this->muted ||
               (this->isolated && (from == *this->isolated) != (to == *this->isolated));
    }

    /// When the message has left its sender's link.
    time_point leaves_at(const instance_id& id, const message& content) {
        if (this->link_bytes_per_second == 0) {
            return this->now;
        }
        std::size_t size = 0;
        if (const auto* entries = std::get_if<append_entries_request>(&content)) {
            for (const log_entry& entry : entries->entries) {
                size += entry.command.size();
            }
        } else if (const auto* piece = std::get_if<install_snapshot_request>(&content)) {
            size = piece->data.size();
        }
        time_point& free_at = this->nodes[id].link_free_at;
        free_at =
            std::max(free_at, this->now) +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                static_cast<double>(size) / static_cast<double>(this->link_bytes_per_second)));
        return free_at;
    }

    void execute(const instance_id& id, const actions& pending) {
        for (const action& next : pending) {
            std::visit([&](const auto& alternative) { this->execute(id, alternative); }, next);
        }
    }
    void execute(const instance_id& id, const persist_vote& vote) {
        stored_state& stored = this->nodes[id].stored;
        CHECK(vote.term >= stored.term);
        stored.term = vote.term;
        stored.voted_for = vote.voted_for;
    }
    void execute(const instance_id& id, const persist_entries& appended) {
        stored_state& stored = this->nodes[id].stored;
        stored.entries.resize(appended.first.value() - stored.snapshot_index.value() - 1);
        stored.entries.insert(stored.entries.end(), appended.entries.begin(),
                              appended.entries.end());
        for (const log_entry& entry : appended.entries) {
            this->nodes[id].log_bytes += entry.command.size();
        }
    }
    void execute(const instance_id& id, const persist_snapshot& snapshot) {
        stored_state& stored = this->nodes[id].stored;
        stored.snapshot_index = snapshot.index;
        stored.snapshot_term = snapshot.index_term;
        stored.snapshot_voters = snapshot.voters;
        this->nodes[id].saved =
            snapshot.data == nullptr ? this->nodes[id].applied : join(snapshot.data);
        this->nodes[id].applied_index = snapshot.index;
        stored.entries.clear();
        stored.snapshot_piece_bytes.clear();
        const std::string& state = this->nodes[id].saved;
        for (std::size_t at = 0; at == 0 || at < state.size(); at += this->piece_bytes) {
            stored.snapshot_piece_bytes.push_back(std::min(this->piece_bytes, state.size() - at));
        }
        if (this->nodes[id].raft) {
            this->nodes[id].raft->set_snapshot_pieces(stored.snapshot_piece_bytes);
        }
        this->nodes[id].log_bytes = 0;
    }
    void execute(const instance_id& id, const send_message& sent) {
        if (const auto* entries = std::get_if<append_entries_request>(&sent.content)) {
            this->entries_sent_to[sent.to] += entries->entries.size();
            for (const log_entry& entry : entries->entries) {
                this->bytes_sent_to[sent.to] += entry.command.size();
            }
        }
        std::bernoulli_distribution lost(this->loss);
        const int copies = lost(this->random) ? 0 : (lost(this->random) ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            // Links are TCP connections, which deliver messages in order; a test sets `is_ordered`
            // where that matters.
            const duration delay = this->is_ordered
                                       ? this->delay
                                       : duration(2ms) * static_cast<int>(1 + this->random() % 10);
            this->network.push({this->leaves_at(id, sent.content) + delay, ++this->last_message, id,
                                sent.to, sent.content});
        }
    }
    void execute(const instance_id& id, const apply_command& committed) {
        node& member_node = this->nodes[id];
        member_node.applied += committed.command + ";";
        member_node.applied_index = committed.index;
        const auto known = this->history.emplace(committed.index, committed.command);
        // No two replicas apply different commands at the same index.
        CHECK(known.first->second == committed.command);
    }
    void execute(const instance_id& id, const restore_state& restored) {
        this->nodes[id].applied = join(restored.data);
    }
    void execute(const instance_id& id, const send_snapshot_piece& piece_to_send) {
        install_snapshot_request sent = piece_to_send.content;
        sent.data = this->nodes[id].saved.substr(sent.piece * this->piece_bytes, this->piece_bytes);
        this->execute(id, send_message{piece_to_send.to, sent});
    }
    /// An observation for the log; it has no effect.
    void execute(const instance_id&, const voters_changed&) {}
    void execute(const instance_id&, const disk_lost&) {}
    void execute(const instance_id&, const snapshot_progress&) {}
    static std::string join(const snapshot_pieces& pieces) {
        std::string state;
        for (const std::string& piece : *pieces) {
            state += piece;
        }
        return state;
    }
    void execute(const instance_id& id, const leadership_changed& changed) {
        if (changed.is_leader) {
            const term_number term = this->nodes[id].raft->term();
            const auto known = this->leaders.emplace(term, id);
            CHECK(known.first->second == id); // at most one leader in each term
        }
    }

    std::map<instance_id, node> nodes;
    time_point now{1s};
    std::priority_queue<queued_message, std::vector<queued_message>, std::greater<>> network;
    std::optional<instance_id> isolated;
    std::optional<instance_id> muted;
    std::map<log_index, std::string> history;
    std::map<term_number, instance_id> leaders;
    std::uint64_t last_message = 0;
    std::uint64_t last_command = 0;
};

} // namespace kingcupcart::quorum
