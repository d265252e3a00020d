#pragma once

#include "base/clock.h"
#include "quorum/actions.h"
#include "quorum/member.h"
#include "quorum/messages.h"
#include "quorum/replica_limits.h"
#include "quorum/stored_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace kingcupcart::quorum {

/// One keeper's part in the replicated log: election with a trial round, replication, commit by
/// majority, snapshots, one change of membership at a time. A plain state machine. Its design
/// follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
class replica {
public:
    replica(member self, std::vector<instance_id> others, const stored_state& stored,
            replica_limits limits, std::uint64_t seed, time_point now);

    /// A new deployment's first keeper: the only voter until others join.
    [[nodiscard]] actions found(time_point now);
    /// Takes over the members that begin the group, where nothing is known of any.
    [[nodiscard]] actions adopt(const membership& initial_members, time_point now);
    [[nodiscard]] actions handle(const message& incoming, time_point now);
    [[nodiscard]] actions handle_timer(time_point now);
    /// Puts a command into the log; empty where this replica does not lead.
    struct proposal {
        std::optional<log_index> index;
        actions wanted;
    };
    [[nodiscard]] proposal propose(const std::string& command, time_point now);
    /// The state as it is applied, after `index`, is to be kept as a snapshot; the log before it is
    /// no longer needed.
    [[nodiscard]] actions compact(log_index index);
    /// Last index that the snapshot covers.
    [[nodiscard]] log_index compacted() const { return this->snapshot_index; }

    /// The members that a replica which is no voter asks to be taken in by.
    void set_others(std::vector<instance_id> changed) { this->others = std::move(changed); }
    /// Members that are to be replaced although they are alive. Told to every replica, so that a
    /// new leader goes on with it.
    void set_leaving(std::set<instance_id> changed) { this->leaving = std::move(changed); }
    /// Leads, and heard from a majority within the shortest election time: no other leader can have
    /// been elected meanwhile.
    [[nodiscard]] bool has_fresh_majority(time_point now) const;

    [[nodiscard]] time_point next_wakeup() const { return this->wakeup; }
    [[nodiscard]] bool is_leader() const { return this->role == role_kind::leader; }
    [[nodiscard]] const instance_id& leader() const { return this->known_leader; }
    [[nodiscard]] term_number term() const { return this->current_term; }
    [[nodiscard]] log_index committed() const { return this->commit_index; }
    [[nodiscard]] log_index last_index() const;
    [[nodiscard]] std::size_t log_size() const { return this->log.size(); }
    [[nodiscard]] const membership& voters() const { return this->latest_membership; }
    [[nodiscard]] bool is_voter() const;
    /// A voter by a membership that is agreed; only then a repair is finished.
    [[nodiscard]] bool is_settled_voter() const {
        return this->is_voter() && !this->pending_change() &&
               this->latest_membership.joining.value().empty();
    }
    /// Whether the latest membership is agreed.
    [[nodiscard]] bool is_membership_agreed() const { return !this->pending_change(); }
    /// Keepers that are to become voters and have not caught up.
    [[nodiscard]] std::size_t joining_count() const { return this->learners.size(); }
    /// Learners that hold all that is agreed and could replace a voter.
    [[nodiscard]] std::size_t standby_count() const;

private:
    enum class role_kind { follower, pre_candidate, candidate, leader };
    struct progress {
        log_index next{1};
        log_index match;
        time_point last_heard{};
        /// Where the logs part is being looked for; nothing but probes is sent meanwhile.
        bool is_probed = false;
        /// When a piece of a snapshot was sent last, of which snapshot, and how many it holds.
        time_point snapshot_at{};
        log_index snapshot_index{};
        std::uint64_t pieces_received = 0;
        /// It is told who leads, and gets nothing of the log.
        bool is_observer = false;
    };

    void on(const vote_request& asked);
    void on(const vote_response& told);
    void on(const append_entries_request& sent);
    void on(const append_entries_response& told);
    void on(const install_snapshot_request& sent);
    void on(const install_snapshot_response& told);
    void on(const join_request& asked);
    /// Progress of the follower that answers, or null where its answer does not count.
    [[nodiscard]] progress* heard_from(const member& follower, term_number term);

    void become_follower(term_number term);
    void begin_trial();
    void begin_election();
    void count_votes();
    void become_leader();
    void lead();
    void replicate_to(const instance_id& to);
    [[nodiscard]] bool may_send(const progress& state, log_index index, std::size_t count,
                                std::size_t size) const;
    /// Commands that were sent and not acknowledged.
    [[nodiscard]] std::size_t bytes_under_way(const progress& state) const;
    void append(const log_entry& entry);
    void take_entries(const append_entries_request& sent);
    void advance_commit();
    void apply_committed();
    /// Once the replacement of a disk is agreed, the newcomer's word counts again.
    void settle_membership();
    /// Takes in learners that have caught up, and takes out voters that are absent or leaving: one
    /// change at a time.
    void adjust_membership();
    [[nodiscard]] bool replace_disk();
    [[nodiscard]] bool add_standby();
    [[nodiscard]] bool remove_surplus();
    /// Has observers catch up where there are too few standbys.
    void recruit_standbys();
    [[nodiscard]] bool has_standbys() const;
    void tell_observer(const instance_id& to);
    void send_next_piece(const instance_id& to, progress& state);
    void install_snapshot(const install_snapshot_request& last);
    [[nodiscard]] bool is_caught_up(const instance_id& id) const;
    [[nodiscard]] bool is_unfit(const instance_id& id) const;
    void change_membership(membership changed);
    void check_majority_heard();
    [[nodiscard]] bool hears_majority(duration within, time_point moment) const;
    void refresh_membership();
    void arm_election();
    void send(const instance_id& to, message content);
    void keep_vote_now();
    [[nodiscard]] bool is_up_to_date(const vote_request& asked) const;
    [[nodiscard]] bool has_majority(const std::set<instance_id>& agreeing,
                                    const membership& among) const;
    [[nodiscard]] bool is_known_voter(const member& one) const;
    [[nodiscard]] const log_entry& entry_at(log_index index) const;
    [[nodiscard]] term_number term_at(log_index index) const;
    [[nodiscard]] std::optional<log_index> pending_change() const;

    member self;
    std::vector<instance_id> others;
    replica_limits limits;
    std::mt19937_64 random;
    role_kind role = role_kind::follower;
    term_number current_term;
    instance_id voted_for;
    instance_id known_leader;
    time_point leader_heard{};
    log_index snapshot_index;
    term_number snapshot_term;
    membership snapshot_voters;
    /// The snapshot that is being received.
    struct {
        instance_id leader;
        log_index index;
        std::vector<std::string> pieces;
    } incoming;
    std::vector<log_entry> log;
    membership latest_membership;
    log_index commit_index;
    log_index applied_index;
    std::set<instance_id> votes;
    std::map<instance_id, progress> followers;
    /// Members that asked to join, by instance.
    std::map<instance_id, member> learners;
    std::set<instance_id> leaving;
    time_point now{};
    time_point wakeup{};
    actions output;
};

} // namespace kingcupcart::quorum
