#include "quorum/internal/log_arithmetic.h"
#include "quorum/replica.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The leader's side of a replica: replication, commit, membership.
namespace kingcupcart::quorum {

void replica::become_leader() {
    this->role = role_kind::leader;
    this->known_leader = this->self.id;
    this->followers.clear();
    this->learners.clear();
    for (const member& voter : this->latest_membership.voters) {
        if (voter.id != this->self.id) {
            this->followers[voter.id] = progress{after(this->last_index()), {}, this->now};
        }
    }
    this->output.push_back(leadership_changed{true});
    // Entries of earlier terms are committed only along with one of this term.
    log_entry marker;
    marker.term = this->current_term;
    this->append(marker);
    this->advance_commit();
    this->lead();
}

void replica::lead() {
    this->recruit_standbys();
    for (const auto& [id, state] : this->followers) {
        if (state.is_observer) {
            this->tell_observer(id);
        } else {
            this->replicate_to(id);
        }
    }
    this->wakeup = this->now + this->limits.heartbeat;
}

void replica::replicate_to(const instance_id& to) {
    progress& state = this->followers.at(to);
    if (state.is_observer) {
        return;
    }
    log_index previous = before(state.next);
    const bool is_behind_log = previous < this->snapshot_index;
    if (is_behind_log && this->now - state.snapshot_at >= this->limits.snapshot_time) {
        this->send_next_piece(to, state);
        return;
    }
    if (is_behind_log) {
        // The snapshot is on its way: only the heartbeat.
        previous = this->snapshot_index;
    }
    append_entries_request sent;
    sent.term = this->current_term;
    sent.leader = this->self;
    sent.previous_index = previous;
    sent.previous_term = this->term_at(previous);
    sent.committed = this->commit_index;
    std::size_t size = 0;
    const std::size_t under_way = this->bytes_under_way(state);
    for (log_index index = after(previous);
         !is_behind_log && under_way + size < this->limits.bytes_in_flight &&
         this->may_send(state, index, sent.entries.size(), size);
         index = after(index)) {
        sent.entries.push_back(this->entry_at(index));
        size += sent.entries.back().command.size();
    }
    // What is on its way is not sent again; a follower that missed it says where to go back to.
    state.next = after(before(state.next), sent.entries.size() + 1);
    this->send(to, std::move(sent));
}

void replica::tell_observer(const instance_id& to) {
    append_entries_request sent;
    sent.term = this->current_term;
    sent.leader = this->self;
    this->send(to, std::move(sent));
}

bool replica::has_standbys() const {
    const auto count =
        std::count_if(this->learners.begin(), this->learners.end(), [this](const auto& item) {
            const auto follower = this->followers.find(item.first);
            return follower != this->followers.end() && !follower->second.is_observer &&
                   !this->is_unfit(item.first);
        });
    return static_cast<std::size_t>(count) >= this->limits.standbys_wanted;
}

void replica::recruit_standbys() {
    for (auto& [id, state] : this->followers) {
        if (this->has_standbys()) {
            return;
        }
        if (state.is_observer && !this->is_unfit(id)) {
            state = progress{after(this->last_index()), log_index(0), this->now};
        }
    }
}

std::size_t replica::bytes_under_way(const progress& state) const {
    std::size_t bytes = 0;
    for (log_index index = std::max(after(state.match), after(this->snapshot_index));
         index < state.next && index <= this->last_index(); index = after(index)) {
        bytes += this->entry_at(index).command.size();
    }
    return bytes;
}

bool replica::may_send(const progress& state, log_index index, std::size_t count,
                       std::size_t size) const {
    const std::uint64_t under_way = index.value() - std::min(index, after(state.match)).value();
    return index <= this->last_index() && !state.is_probed &&
           count < this->limits.entries_per_message && size < this->limits.message_bytes &&
           under_way < this->limits.entries_in_flight;
}

void replica::append(const log_entry& entry) {
    this->log.push_back(entry);
    if (entry.change) {
        this->latest_membership = *entry.change;
    }
    this->output.push_back(persist_entries{this->last_index(), {entry}});
}

void replica::advance_commit() {
    // Whatever stands before an entry of this term that a majority holds is agreed along with it.
    for (log_index index = this->last_index();
         index > this->commit_index && this->term_at(index) == this->current_term;
         index = before(index)) {
        std::set<instance_id> agreeing{this->self.id};
        for (const auto& [id, state] : this->followers) {
            // One that has not been taken in yet does not speak for the disk it is to replace.
            if (state.match >= index && !this->learners.contains(id)) {
                agreeing.insert(id);
            }
        }
        agreeing.erase(this->latest_membership.joining);
        if (this->has_majority(agreeing, this->latest_membership)) {
            this->commit_index = index;
            this->apply_committed();
            this->settle_membership();
            return;
        }
    }
}

void replica::settle_membership() {
    if (this->latest_membership.joining.value().empty() || this->pending_change()) {
        return;
    }
    log_entry entry;
    entry.term = this->current_term;
    entry.change = membership{this->latest_membership.voters, instance_id()};
    this->append(entry);
    this->lead();
}

bool replica::is_caught_up(const instance_id& id) const {
    const auto follower = this->followers.find(id);
    return follower != this->followers.end() && !follower->second.is_observer &&
           follower->second.match >= this->commit_index;
}

bool replica::is_unfit(const instance_id& id) const {
    if (this->leaving.contains(id)) {
        return true;
    }
    const auto follower = this->followers.find(id);
    return id != this->self.id && follower != this->followers.end() &&
           this->now - follower->second.last_heard > this->limits.absence_limit;
}

std::size_t replica::standby_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->learners.begin(), this->learners.end(), [this](const auto& item) {
            return this->is_caught_up(item.first) && !this->is_unfit(item.first);
        }));
}

void replica::change_membership(membership changed) {
    log_entry entry;
    entry.term = this->current_term;
    entry.change = std::move(changed);
    this->append(entry);
    this->lead();
}

bool replica::replace_disk() {
    for (auto item = this->learners.begin(); item != this->learners.end(); ++item) {
        const instance_id id = item->first;
        membership changed = this->latest_membership;
        const auto voter = std::find_if(changed.voters.begin(), changed.voters.end(),
                                        [&](const member& one) { return one.id == id; });
        if (voter == changed.voters.end() || !this->is_caught_up(id)) {
            continue;
        }
        *voter = item->second;
        changed.joining = id;
        this->learners.erase(item);
        this->change_membership(std::move(changed));
        return true;
    }
    return false;
}

bool replica::add_standby() {
    const auto& voters = this->latest_membership.voters;
    const bool has_unfit = std::any_of(voters.begin(), voters.end(), [this](const member& voter) {
        return this->is_unfit(voter.id);
    });
    const std::size_t wanted = this->limits.voters_wanted;
    // One above the wanted number only to take out an unfit voter in the next change.
    if (wanted != 0 && voters.size() >= wanted && !(has_unfit && voters.size() == wanted)) {
        return false;
    }
    for (auto item = this->learners.begin(); item != this->learners.end(); ++item) {
        if (!this->is_caught_up(item->first) || this->is_unfit(item->first)) {
            continue;
        }
        membership changed = this->latest_membership;
        changed.voters.push_back(item->second);
        changed.joining = instance_id();
        this->learners.erase(item);
        this->change_membership(std::move(changed));
        return true;
    }
    return false;
}

bool replica::remove_surplus() {
    const std::size_t wanted = this->limits.voters_wanted;
    membership changed = this->latest_membership;
    if (wanted == 0 || changed.voters.size() <= wanted) {
        return false;
    }
    auto goes = std::find_if(changed.voters.begin(), changed.voters.end(),
                             [this](const member& voter) { return this->is_unfit(voter.id); });
    if (goes == changed.voters.end()) {
        // The absent voter came back: the newest one is a standby again.
        goes = std::prev(changed.voters.end());
        if (goes->id == this->self.id) {
            goes = changed.voters.begin();
        }
    }
    const instance_id gone = goes->id;
    changed.voters.erase(goes);
    changed.joining = instance_id();
    this->change_membership(std::move(changed));
    this->followers.erase(gone);
    return true;
}

void replica::adjust_membership() {
    const bool has_own_commit = this->commit_index > this->snapshot_index &&
                                this->term_at(this->commit_index) == this->current_term;
    if (!has_own_commit || this->pending_change()) {
        return;
    }
    if (!this->is_voter()) {
        // It led until the change that takes it out was agreed.
        this->become_follower(this->current_term);
        return;
    }
    if (this->replace_disk() || this->remove_surplus()) {
        return;
    }
    static_cast<void>(this->add_standby());
}

bool replica::hears_majority(duration within, time_point moment) const {
    std::set<instance_id> heard{this->self.id};
    for (const auto& [id, state] : this->followers) {
        if (moment - state.last_heard < within && !this->learners.contains(id)) {
            heard.insert(id);
        }
    }
    return this->has_majority(heard, this->latest_membership);
}

bool replica::has_fresh_majority(time_point moment) const {
    return this->is_leader() && this->hears_majority(this->limits.election_least, moment);
}

void replica::check_majority_heard() {
    if (!this->hears_majority(this->limits.election_most, this->now)) {
        this->become_follower(this->current_term);
    }
}

} // namespace kingcupcart::quorum
