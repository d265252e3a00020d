#pragma once

#include "base/clock.h"
#include "quorum/actions.h"
#include "quorum/member.h"
#include "quorum/messages.h"
#include "quorum/replica_limits.h"
#include "quorum/stored_state.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcupcart::quorum {

/// One member of a Raft group: leader election with pre-vote, log replication, commit by majority,
/// snapshots, and one change of membership at a time. It performs no input or output: it takes
/// messages and the time, and returns actions for its caller to execute. The design follows Ongaro
/// and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
class replica {
public:
    replica(member local_member, std::vector<instance_id> peers, const stored_state& stored,
            replica_limits limits, std::uint64_t seed, time_point now);

    /// Starts a new group with this member as its only voter; others join later. Does nothing if
    /// the log is not empty.
    [[nodiscard]] actions bootstrap(time_point now);
    /// Sets the initial voters of the group. Does nothing if a log or a membership exists already.
    [[nodiscard]] actions adopt_initial_members(const membership& initial_members, time_point now);
    /// Processes a message from another member.
    [[nodiscard]] actions handle(const message& incoming, time_point now);
    /// To be called when `next_wakeup` is reached; does nothing before.
    [[nodiscard]] actions handle_timer(time_point now);
    /// To be called when messages to the peer can be sent. Asks it to join at once while this
    /// replica is not a voter.
    [[nodiscard]] actions handle_connected(const instance_id& peer, time_point now);
    struct proposal {
        /// Index of the command in the log; empty if this replica is not the leader.
        std::optional<log_index> index;
        /// For the caller to execute in order.
        actions resulting_actions;
    };
    /// Appends a command to the log, if this replica is the leader.
    [[nodiscard]] proposal propose(const std::string& command, time_point now);
    /// Gives up leadership or candidacy, and knows no leader any more. The returned actions persist
    /// nothing.
    [[nodiscard]] actions resign(time_point now);
    /// Takes a snapshot of the state machine, which has applied the log up to `index`, and drops
    /// that part of the log.
    [[nodiscard]] actions compact(log_index index);
    /// Whether a snapshot should be taken, given the size of the log since the latest snapshot and
    /// the size of that snapshot, in bytes.
    [[nodiscard]] bool is_compaction_due(std::size_t log_bytes, std::size_t snapshot_bytes) const;
    /// To be called once a snapshot is stored, with the sizes of its pieces in bytes.
    void set_snapshot_pieces(std::vector<std::size_t> bytes) {
        this->snapshot_piece_bytes = std::move(bytes);
    }
    /// The index of the last entry that the snapshot covers.
    [[nodiscard]] log_index compacted() const { return this->snapshot_index; }
    /// Bytes of the pieces that are held of a snapshot that has not been received completely.
    [[nodiscard]] std::size_t incoming_snapshot_bytes() const;

    /// The members to which this replica sends join requests while it is not a voter.
    void set_peers(std::vector<instance_id> changed) { this->peers = std::move(changed); }
    /// Members that are replaced although they respond. Every replica is given them, so that a new
    /// leader continues the replacement.
    void set_leaving(std::set<instance_id> changed) { this->leaving = std::move(changed); }
    /// Whether this replica is the leader and a majority responded within the shortest election
    /// timeout, so that no other leader can have been elected since.
    [[nodiscard]] bool has_recent_majority_contact(time_point now) const;

    [[nodiscard]] time_point next_wakeup() const { return this->wakeup; }
    [[nodiscard]] bool is_leader() const { return this->role == role_kind::leader; }
    [[nodiscard]] const instance_id& leader() const { return this->known_leader; }
    [[nodiscard]] term_number term() const { return this->current_term; }
    [[nodiscard]] log_index committed() const { return this->commit_index; }
    [[nodiscard]] log_index last_index() const;
    [[nodiscard]] std::size_t log_size() const { return this->log.size(); }
    [[nodiscard]] const membership& voters() const { return this->latest_membership; }
    [[nodiscard]] bool is_voter() const;
    /// Whether this replica is a voter by a committed membership and no disk replacement is in
    /// progress; only then is a repair complete.
    [[nodiscard]] bool is_committed_voter() const {
        return this->is_voter() && !this->uncommitted_membership() &&
               this->latest_membership.joining.value().empty();
    }
    /// Whether the latest membership is committed.
    [[nodiscard]] bool is_membership_committed() const { return !this->uncommitted_membership(); }
    /// Number of members that asked to join and are not voters; 0 unless this replica is the
    /// leader.
    [[nodiscard]] std::size_t learner_count() const { return this->learners.size(); }
    /// Number of learners that hold all committed entries and could replace a voter.
    [[nodiscard]] std::size_t standby_count() const;
    /// How many of the voters that respond to this leader may lose their disks while the rest is
    /// still a majority that holds all committed entries; negative without a majority, and empty
    /// unless this replica is the leader. While a change of the voters is not committed, the lower
    /// number of both memberships.
    [[nodiscard]] std::optional<int> bearable_losses(time_point now) const;

private:
    enum class role_kind { follower, pre_candidate, candidate, leader };
    struct snapshot_transfer {
        log_index index;
        std::uint64_t pieces_received = 0;
        std::uint64_t pieces_sent = 0;
        time_point started_at{};
        /// When a piece was last sent or acknowledged.
        time_point active_at{};
        /// When the newest request was sent that the follower has responded to.
        time_point acknowledged_request_at{};
        time_point reported_at{};
    };
    struct progress {
        log_index next{1};
        log_index match;
        /// When the newest request was sent that the follower has responded to.
        time_point last_contact{};
        /// The leader is searching for the last index at which the logs match, and sends no entries
        /// meanwhile.
        bool is_probing = false;
        /// The snapshot that is being sent, if any.
        std::optional<snapshot_transfer> transfer;
        /// Receives heartbeats, which name the leader, but no entries.
        bool is_observer = false;
    };

    void on(const vote_request& request);
    void on(const vote_response& response);
    void on(const append_entries_request& request);
    void on(const append_entries_response& response);
    void on(const install_snapshot_request& request);
    void on(const install_snapshot_response& response);
    void on(const join_request& request);
    void on(const resignation& notice);
    /// The voter that holds most of the log among those with recent contact; empty if none.
    [[nodiscard]] instance_id choose_successor() const;
    /// Records that a follower responded in `term`, or steps down if `term` is newer. Returns the
    /// follower's progress, or null if the response is stale or came from another disk.
    [[nodiscard]] progress* record_contact(const member& follower, term_number term,
                                           time_point request_sent_at);

    /// Moves to a later term with the vote, if any, that this replica casts in it.
    void enter_term(term_number term, const instance_id& vote);
    void become_follower(term_number term);
    /// Follows the leader that has sent a request in this term.
    void follow(const member& leader, term_number term);
    /// Records that the member is alive, if it is the one that this replica followed.
    void record_life(const member& sender);
    /// When this new leader can have heard last from the voter. One that voted for it, or of which
    /// it knows nothing, counts from the election on.
    [[nodiscard]] time_point last_contact_before_term(const member& voter) const;
    void start_pre_vote();
    void start_election();
    void count_votes();
    void become_leader();
    void replicate_to_all();
    void replicate_to(const instance_id& to);
    [[nodiscard]] bool may_send(const progress& state, log_index index, std::size_t count,
                                std::size_t size) const;
    /// Size of the commands that were sent to the follower and not acknowledged.
    [[nodiscard]] std::size_t bytes_in_flight(const progress& state) const;
    void append(const log_entry& entry);
    void append_received_entries(const append_entries_request& request);
    void advance_commit();
    void apply_committed();
    /// Once the replacement of a disk is committed, appends a membership in which the replaced
    /// voter counts towards majorities again.
    void finish_disk_replacement();
    /// Promotes learners that have caught up and removes voters that are absent or leaving, one
    /// change at a time.
    void adjust_membership();
    /// Lets a member that has caught up take the place of a voter whose disk is lost: the one with
    /// the new disk, or else a standby.
    [[nodiscard]] bool replace_lost_voter();
    /// Whether the voter has returned with another disk.
    [[nodiscard]] bool is_disk_lost(const member& voter) const;
    [[nodiscard]] bool promote_standby();
    [[nodiscard]] bool remove_surplus_voter();
    /// Turns observers into learners that receive the log while there are too few standbys.
    void recruit_standbys();
    [[nodiscard]] bool has_enough_standbys() const;
    void send_heartbeat(const instance_id& to);
    /// Sends the snapshot pieces that may be in flight to the follower.
    void send_pieces(const instance_id& to, progress& state);
    void send_piece(const instance_id& to, snapshot_transfer& transfer);
    [[nodiscard]] std::size_t bytes_in_flight(const snapshot_transfer& transfer) const;
    /// Whether the follower still needs entries that a snapshot would drop from the log.
    [[nodiscard]] bool is_catching_up(const progress& state) const;
    void install_snapshot(const install_snapshot_request& last);
    /// Drops the pieces of a snapshot that ends in the part of the log that is committed here.
    void release_outdated_pieces();
    [[nodiscard]] bool is_caught_up(const instance_id& id) const;
    /// Whether the standby has caught up and responds: one that is gone would take the place of a
    /// voter long before it counts as absent.
    [[nodiscard]] bool can_be_promoted(const instance_id& standby) const;
    [[nodiscard]] bool is_absent(const instance_id& id) const;
    /// Whether the member has responded to a request from after the latest change of the voters.
    [[nodiscard]] bool has_responded_since_change(const instance_id& id) const;
    [[nodiscard]] bool is_absent_or_leaving(const instance_id& id) const;
    void change_membership(membership changed, voters_change_reason reason);
    [[nodiscard]] int bearable_losses_among(const membership& among, time_point moment) const;
    /// The membership before the uncommitted one.
    [[nodiscard]] membership committed_membership() const;
    void report_progress(const instance_id& to, snapshot_transfer& transfer,
                         snapshot_progress::phase_kind phase);
    void end_transfer(const instance_id& to, progress& state);
    void step_down_without_majority();
    [[nodiscard]] bool has_majority_contact(duration within, time_point moment) const;
    void refresh_membership();
    void reset_election_timer();
    void send(const instance_id& to, message content);
    void persist_current_vote();
    [[nodiscard]] bool is_up_to_date(const vote_request& request) const;
    [[nodiscard]] bool has_majority(const std::set<instance_id>& supporters,
                                    const membership& among) const;
    /// Whether this replica is removed from the voters by a change that is not known to be
    /// committed. It may be the only one that holds the change, and then no other can be elected;
    /// so it campaigns, without a vote of its own.
    [[nodiscard]] bool is_voter_until_commit() const;
    [[nodiscard]] bool is_known_voter(const member& candidate) const;
    [[nodiscard]] const log_entry& entry_at(log_index index) const;
    [[nodiscard]] term_number term_at(log_index index) const;
    [[nodiscard]] std::optional<log_index> uncommitted_membership() const;

    member local_member;
    std::vector<instance_id> peers;
    replica_limits limits;
    std::mt19937_64 random;
    role_kind role = role_kind::follower;
    term_number current_term;
    instance_id voted_for;
    instance_id known_leader;
    /// A leader may hold a lease that rests on a response of this replica, or of the process before
    /// it, until then; it votes for no other until then.
    time_point leader_lease_end;
    /// The latest leader that this replica followed, and when it last heard from that member.
    struct {
        member leader;
        time_point heard_at{};
    } followed;
    log_index snapshot_index;
    term_number snapshot_term;
    membership snapshot_voters;
    std::vector<std::size_t> snapshot_piece_bytes;
    /// The snapshot that is being received from the leader of the current term. A term has one
    /// leader, which has one snapshot for an index, so the index tells its snapshots apart.
    struct {
        log_index index;
        std::vector<std::string> pieces;
        std::vector<bool> is_received;
        /// The number of pieces before the first one that is missing.
        std::uint64_t first_missing = 0;
    } incoming_snapshot;
    std::vector<log_entry> log;
    membership latest_membership;
    log_index commit_index;
    log_index applied_index;
    std::set<instance_id> votes;
    time_point votes_requested_at{};
    std::map<instance_id, progress> followers;
    /// Members that asked to join and are not voters yet, by instance.
    std::map<instance_id, member> learners;
    std::set<instance_id> leaving;
    /// When this leader last changed the voters.
    time_point voters_changed_at{};
    time_point now{};
    time_point wakeup{};
    actions output;
};

} // namespace kingcupcart::quorum
