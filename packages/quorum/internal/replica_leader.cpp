#include "quorum/internal/log_arithmetic.h"
#include "quorum/replica.h"

#include <algorithm>
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
    for (const auto& [id, state] : this->followers) {
        this->replicate_to(id);
    }
    this->wakeup = this->now + this->limits.heartbeat;
}

void replica::replicate_to(const instance_id& to) {
    progress& state = this->followers.at(to);
    const log_index previous = before(state.next);
    if (previous < this->snapshot_index) {
        this->send(to,
                   snapshot_sent{this->current_term, this->self, this->snapshot_index,
                                 this->snapshot_term, this->snapshot_voters, this->snapshot_data});
        state.next = after(this->snapshot_index);
        return;
    }
    entries_sent sent;
    sent.term = this->current_term;
    sent.leader = this->self;
    sent.previous_index = previous;
    sent.previous_term = this->term_at(previous);
    sent.committed = this->commit_index;
    for (log_index index = state.next;
         index <= this->last_index() && sent.entries.size() < this->limits.entries_per_message;
         index = after(index)) {
        sent.entries.push_back(this->entry_at(index));
    }
    this->send(to, std::move(sent));
}

void replica::append(const log_entry& entry) {
    this->log.push_back(entry);
    if (entry.change) {
        this->latest_membership = *entry.change;
    }
    this->output.push_back(keep_entries{this->last_index(), {entry}});
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

void replica::admit_learners() {
    const bool has_own_commit = this->commit_index > this->snapshot_index &&
                                this->term_at(this->commit_index) == this->current_term;
    if (!has_own_commit || this->pending_change()) {
        return;
    }
    for (auto item = this->learners.begin(); item != this->learners.end(); ++item) {
        const auto follower = this->followers.find(item->first);
        if (follower == this->followers.end() || follower->second.match < this->commit_index) {
            continue;
        }
        log_entry entry;
        entry.term = this->current_term;
        membership changed = this->latest_membership;
        const auto replaced = std::erase_if(
            changed.voters, [&](const member& voter) { return voter.id == item->first; });
        changed.voters.push_back(item->second);
        changed.joining = replaced > 0 ? item->first : instance_id();
        entry.change = changed;
        this->learners.erase(item);
        this->append(entry);
        this->lead();
        return;
    }
}

void replica::check_majority_heard() {
    std::set<instance_id> heard{this->self.id};
    for (const auto& [id, state] : this->followers) {
        const bool is_recent = this->now - state.last_heard < this->limits.election_most;
        if (is_recent && !this->learners.contains(id)) {
            heard.insert(id);
        }
    }
    if (!this->has_majority(heard, this->latest_membership)) {
        this->become_follower(this->current_term);
    }
}

} // namespace kingcupcart::quorum
