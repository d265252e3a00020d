#include "quorum/internal/log_arithmetic.h"
#include "quorum/replica.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The leader's part of a replica: log replication, commit, changes of membership.
namespace kingcupcart::quorum {

void replica::become_leader() {
    this->role = role_kind::leader;
    this->known_leader = this->local_member.id;
    this->voters_changed_at = this->now;
    this->followers.clear();
    this->learners.clear();
    for (const member& voter : this->latest_membership.voters) {
        if (voter.id != this->local_member.id) {
            this->followers[voter.id] = progress{
                after(this->last_index()), {}, this->last_contact_before_term(voter), {}, {}, {}};
        }
    }
    // What is known of it grows old while this replica leads.
    this->followed = {};
    this->output.push_back(leadership_changed{true});
    // Entries of earlier terms are committed only together with an entry of the current term.
    log_entry marker;
    marker.term = this->current_term;
    this->append(marker);
    this->advance_commit();
    this->replicate_to_all();
}

time_point replica::last_contact_before_term(const member& voter) const {
    // The former leader may have gone long before the election that its absence caused.
    return voter == this->followed.leader && !this->votes.contains(voter.id)
               ? std::min(this->followed.heard_at, this->votes_requested_at)
               : this->votes_requested_at;
}

void replica::replicate_to_all() {
    this->recruit_standbys();
    for (const auto& [id, state] : this->followers) {
        if (state.is_observer) {
            this->send_heartbeat(id);
        } else {
            this->replicate_to(id);
        }
    }
    this->wakeup = this->now + this->limits.heartbeat_interval;
}

void replica::replicate_to(const instance_id& to) {
    progress& state = this->followers.at(to);
    if (state.is_observer) {
        return;
    }
    log_index previous = before(state.next);
    const bool is_behind_log = previous < this->snapshot_index;
    if (is_behind_log &&
        (!state.transfer || state.transfer->index != this->snapshot_index ||
         this->now - state.transfer->active_at >= this->limits.snapshot_piece_timeout)) {
        this->send_pieces(to, state);
        return;
    }
    if (is_behind_log) {
        // Snapshot pieces are in flight: sends only a heartbeat.
        previous = this->snapshot_index;
    }
    append_entries_request request;
    request.term = this->current_term;
    request.leader = this->local_member;
    request.sent_at = this->now;
    request.previous_index = previous;
    request.previous_term = this->term_at(previous);
    request.committed = this->commit_index;
    std::size_t size = 0;
    const std::size_t in_flight = this->bytes_in_flight(state);
    const std::size_t max_in_flight = this->learners.contains(to)
                                          ? this->limits.max_catch_up_bytes_in_flight
                                          : this->limits.max_bytes_in_flight;
    for (log_index index = after(previous);
         !is_behind_log && in_flight + size < max_in_flight &&
         this->may_send(state, index, request.entries.size(), size);
         index = after(index)) {
        request.entries.push_back(this->entry_at(index));
        size += request.entries.back().command.size();
    }
    // Entries in flight are not sent again; a follower that missed them rejects the next request
    // and returns the index from which to retry.
    state.next = after(before(state.next), request.entries.size() + 1);
    this->send(to, std::move(request));
}

void replica::send_heartbeat(const instance_id& to) {
    append_entries_request request;
    request.term = this->current_term;
    request.leader = this->local_member;
    request.sent_at = this->now;
    this->send(to, std::move(request));
}

bool replica::has_enough_standbys() const {
    const auto count =
        std::count_if(this->learners.begin(), this->learners.end(), [this](const auto& item) {
            const auto follower = this->followers.find(item.first);
            return follower != this->followers.end() && !follower->second.is_observer &&
                   !this->is_absent_or_leaving(item.first);
        });
    return static_cast<std::size_t>(count) >= this->limits.desired_standbys;
}

void replica::recruit_standbys() {
    for (auto& [id, state] : this->followers) {
        if (this->has_enough_standbys()) {
            return;
        }
        if (state.is_observer && !this->is_absent_or_leaving(id)) {
            state = progress{after(this->last_index()), log_index(0), this->now, {}, {}, {}};
        }
    }
}

std::size_t replica::bytes_in_flight(const progress& state) const {
    std::size_t bytes = 0;
    for (log_index index = std::max(after(state.match), after(this->snapshot_index));
         index < state.next && index <= this->last_index(); index = after(index)) {
        bytes += this->entry_at(index).command.size();
    }
    return bytes;
}

bool replica::may_send(const progress& state, log_index index, std::size_t count,
                       std::size_t size) const {
    const std::uint64_t in_flight = index.value() - std::min(index, after(state.match)).value();
    return index <= this->last_index() && !state.is_probing &&
           count < this->limits.max_entries_per_message && size < this->limits.max_message_bytes &&
           in_flight < this->limits.max_entries_in_flight;
}

void replica::append(const log_entry& entry) {
    this->log.push_back(entry);
    if (entry.change) {
        this->latest_membership = *entry.change;
    }
    this->output.push_back(persist_entries{this->last_index(), {entry}});
}

void replica::advance_commit() {
    // An entry of the current term that a majority holds commits all entries before it, too.
    for (log_index index = this->last_index();
         index > this->commit_index && this->term_at(index) == this->current_term;
         index = before(index)) {
        std::set<instance_id> holders{this->local_member.id};
        for (const auto& [id, state] : this->followers) {
            // A learner may carry the id of a voter whose disk it is to replace, but does not count
            // as that voter yet.
            if (state.match >= index && !this->learners.contains(id)) {
                holders.insert(id);
            }
        }
        holders.erase(this->latest_membership.joining);
        if (this->has_majority(holders, this->latest_membership)) {
            this->commit_index = index;
            this->apply_committed();
            this->finish_disk_replacement();
            return;
        }
    }
}

void replica::finish_disk_replacement() {
    if (this->latest_membership.joining.value().empty() || this->uncommitted_membership()) {
        return;
    }
    this->change_membership({this->latest_membership.voters, instance_id()},
                            voters_change_reason::replacement_finished);
}

bool replica::is_caught_up(const instance_id& id) const {
    const auto follower = this->followers.find(id);
    return follower != this->followers.end() && !follower->second.is_observer &&
           !follower->second.is_probing && !follower->second.transfer &&
           follower->second.match > log_index(0) &&
           before(follower->second.next) >= this->commit_index;
}

bool replica::is_absent(const instance_id& id) const {
    const auto follower = this->followers.find(id);
    return id != this->local_member.id && follower != this->followers.end() &&
           this->now - follower->second.last_contact > this->limits.absence_timeout;
}

bool replica::is_absent_or_leaving(const instance_id& id) const {
    return this->leaving.contains(id) || this->is_absent(id);
}

bool replica::has_responded_since_change(const instance_id& id) const {
    const auto follower = this->followers.find(id);
    return id == this->local_member.id ||
           (follower != this->followers.end() &&
            follower->second.last_contact >= this->voters_changed_at);
}

bool replica::can_be_promoted(const instance_id& standby) const {
    const auto follower = this->followers.find(standby);
    return this->is_caught_up(standby) && !this->leaving.contains(standby) &&
           this->now - follower->second.last_contact < this->limits.min_election_timeout;
}

std::size_t replica::standby_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->learners.begin(), this->learners.end(), [this](const auto& item) {
            return this->is_caught_up(item.first) && !this->is_absent_or_leaving(item.first);
        }));
}

void replica::change_membership(membership changed, voters_change_reason reason) {
    log_entry entry;
    entry.term = this->current_term;
    entry.change = std::move(changed);
    this->append(entry);
    this->voters_changed_at = this->now;
    this->output.push_back(voters_changed{this->last_index(), *entry.change, reason});
    this->replicate_to_all();
}

bool replica::is_disk_lost(const member& voter) const {
    return this->learners.contains(voter.id);
}

bool replica::replace_lost_voter() {
    membership changed = this->latest_membership;
    std::vector<member>& voters = changed.voters;
    // Where several disks are lost, one whose successor has caught up must not wait for another.
    auto lost = std::find_if(voters.begin(), voters.end(), [this](const member& voter) {
        return this->is_disk_lost(voter) && this->is_caught_up(voter.id);
    });
    auto replacement = this->learners.end();
    if (lost != voters.end()) {
        replacement = this->learners.find(lost->id);
    } else {
        lost = std::find_if(voters.begin(), voters.end(),
                            [this](const member& voter) { return this->is_disk_lost(voter); });
        replacement =
            std::find_if(this->learners.begin(), this->learners.end(), [&](const auto& item) {
                const bool is_voter_id =
                    std::any_of(voters.begin(), voters.end(),
                                [&](const member& voter) { return voter.id == item.first; });
                return !is_voter_id && this->can_be_promoted(item.first);
            });
    }
    if (lost == voters.end() || replacement == this->learners.end()) {
        return false;
    }
    *lost = replacement->second;
    changed.joining = replacement->first;
    this->learners.erase(replacement);
    this->change_membership(std::move(changed), voters_change_reason::disk_replaced);
    return true;
}

bool replica::promote_standby() {
    const auto& voters = this->latest_membership.voters;
    const bool has_voter_to_replace =
        std::any_of(voters.begin(), voters.end(),
                    [this](const member& voter) { return this->is_absent_or_leaving(voter.id); });
    const std::size_t desired = this->limits.desired_voters;
    // Exceeds the desired number by one only to remove an absent or leaving voter in the next
    // change.
    if (desired != 0 && voters.size() >= desired &&
        !(has_voter_to_replace && voters.size() == desired)) {
        return false;
    }
    for (auto item = this->learners.begin(); item != this->learners.end(); ++item) {
        const bool replaces_disk =
            std::any_of(voters.begin(), voters.end(),
                        [&](const member& voter) { return voter.id == item->first; });
        if (replaces_disk || !this->can_be_promoted(item->first)) {
            continue;
        }
        membership changed = this->latest_membership;
        changed.voters.push_back(item->second);
        changed.joining = instance_id();
        this->learners.erase(item);
        this->change_membership(std::move(changed), has_voter_to_replace
                                                        ? voters_change_reason::standby_added
                                                        : voters_change_reason::joined);
        return true;
    }
    return false;
}

bool replica::remove_surplus_voter() {
    const std::size_t desired = this->limits.desired_voters;
    membership changed = this->latest_membership;
    if (desired == 0 || changed.voters.size() <= desired) {
        return false;
    }
    auto removed = std::find_if(changed.voters.begin(), changed.voters.end(),
                                [this](const member& voter) { return this->is_disk_lost(voter); });
    if (removed == changed.voters.end()) {
        removed = std::find_if(changed.voters.begin(), changed.voters.end(),
                               [this](const member& voter) { return this->is_absent(voter.id); });
    }
    if (removed == changed.voters.end()) {
        removed =
            std::find_if(changed.voters.begin(), changed.voters.end(),
                         [this](const member& voter) { return this->leaving.contains(voter.id); });
        const bool is_needed =
            std::any_of(changed.voters.begin(), changed.voters.end(), [&](const member& voter) {
                return !this->has_responded_since_change(voter.id);
            });
        if (removed != changed.voters.end() && is_needed) {
            // The one that stands in for the leaving voter may be gone.
            return false;
        }
    }
    const bool is_surplus = removed == changed.voters.end();
    if (is_surplus) {
        // The absent voter has returned, so the newest voter becomes a standby again.
        removed = std::prev(changed.voters.end());
        if (removed->id == this->local_member.id) {
            removed = changed.voters.begin();
        }
    }
    const instance_id removed_id = removed->id;
    changed.voters.erase(removed);
    changed.joining = instance_id();
    this->change_membership(std::move(changed),
                            is_surplus ? voters_change_reason::surplus_removed
                                       : voters_change_reason::absent_or_leaving_removed);
    if (!this->learners.contains(removed_id)) {
        this->followers.erase(removed_id);
    }
    return true;
}

void replica::adjust_membership() {
    const bool has_committed_in_term = this->term_at(this->commit_index) == this->current_term;
    if (!has_committed_in_term || this->uncommitted_membership()) {
        return;
    }
    if (!this->is_voter()) {
        // A leader that is being removed leads until its removal is committed.
        this->become_follower(this->current_term);
        return;
    }
    if (this->remove_surplus_voter() || this->replace_lost_voter()) {
        return;
    }
    static_cast<void>(this->promote_standby());
}

bool replica::has_majority_contact(duration within, time_point moment) const {
    std::set<instance_id> contacts{this->local_member.id};
    for (const auto& [id, state] : this->followers) {
        if (moment - state.last_contact < within && !this->learners.contains(id)) {
            contacts.insert(id);
        }
    }
    contacts.erase(this->latest_membership.joining);
    return this->has_majority(contacts, this->latest_membership);
}

bool replica::has_recent_majority_contact(time_point moment) const {
    return this->is_leader() &&
           this->has_majority_contact(this->limits.min_election_timeout, moment);
}

int replica::bearable_losses_among(const membership& among, time_point moment) const {
    const auto responding =
        std::count_if(among.voters.begin(), among.voters.end(), [&](const member& voter) {
            if (voter.id == this->local_member.id) {
                return true;
            }
            const auto follower = this->followers.find(voter.id);
            return follower != this->followers.end() && !this->learners.contains(voter.id) &&
                   voter.id != this->latest_membership.joining &&
                   moment - follower->second.last_contact < this->limits.max_election_timeout;
        });
    return static_cast<int>(responding) - (static_cast<int>(among.voters.size()) / 2 + 1);
}

std::optional<int> replica::bearable_losses(time_point moment) const {
    if (!this->is_leader()) {
        return std::nullopt;
    }
    const int latest = this->bearable_losses_among(this->latest_membership, moment);
    return this->uncommitted_membership()
               ? std::min(latest, this->bearable_losses_among(this->committed_membership(), moment))
               : latest;
}

void replica::step_down_without_majority() {
    if (!this->has_majority_contact(this->limits.max_election_timeout, this->now)) {
        this->become_follower(this->current_term);
    }
}

} // namespace kingcupcart::quorum
