#include "quorum/internal/log_arithmetic.h"
#include "quorum/replica.h"

#include <set>
#include <utility>

/// Leader election: the replica's vote, its candidacy, and the pre-vote before it.
namespace kingcupcart::quorum {

void replica::on(const vote_request& request) {
    this->record_life(request.candidate);
    if (this->is_leader() && !this->is_known_voter(request.candidate)) {
        // The candidate was removed from the voters while it had no contact with the leader, and
        // has not received that change.
        this->on(join_request{request.candidate});
        return;
    }
    const bool has_leader_contact = this->is_leader() || this->now < this->leader_lease_end;
    vote_response reply;
    reply.voter = this->local_member;
    reply.is_pre_vote = request.is_pre_vote;
    if (request.is_pre_vote) {
        reply.is_granted = !has_leader_contact && request.term > this->current_term &&
                           this->is_up_to_date(request);
        reply.term = reply.is_granted ? request.term : this->current_term;
        this->send(request.candidate.id, reply);
        return;
    }
    if (has_leader_contact) {
        // A candidate that lost contact must not depose a leader that this replica has contact
        // with, or had before it restarted.
        return;
    }
    if (request.term > this->current_term) {
        this->become_follower(request.term);
    }
    const bool is_free = this->voted_for.value().empty() || this->voted_for == request.candidate.id;
    reply.term = this->current_term;
    // This replica or the candidate may be a voter by an entry that is not in the local log yet.
    // The candidate counts only votes of those that are voters by its own log.
    reply.is_granted =
        request.term == this->current_term && is_free && this->is_up_to_date(request);
    if (reply.is_granted) {
        this->voted_for = request.candidate.id;
        this->persist_current_vote();
        this->reset_election_timer();
    }
    this->send(request.candidate.id, reply);
}

bool replica::is_up_to_date(const vote_request& request) const {
    const term_number last_local_term = this->term_at(this->last_index());
    return request.last_term > last_local_term ||
           (request.last_term == last_local_term && request.last_index >= this->last_index());
}

void replica::on(const vote_response& response) {
    this->record_life(response.voter);
    // A granted pre-vote states the term that the candidate asked for; any other response that of
    // the voter. A candidate that did not adopt a higher one would ask for too low a term for good.
    const bool states_voter_term = !response.is_pre_vote || !response.is_granted;
    if (states_voter_term && response.term > this->current_term) {
        this->become_follower(response.term);
        return;
    }
    if (!response.is_granted || !this->is_known_voter(response.voter)) {
        return;
    }
    const bool is_for_pre_vote = this->role == role_kind::pre_candidate && response.is_pre_vote &&
                                 response.term.value() == this->current_term.value() + 1;
    const bool is_for_election = this->role == role_kind::candidate && !response.is_pre_vote &&
                                 response.term == this->current_term;
    if (is_for_pre_vote || is_for_election) {
        this->votes.insert(response.voter.id);
        this->count_votes();
    }
}

void replica::start_pre_vote() {
    this->role = role_kind::pre_candidate;
    this->known_leader = instance_id();
    this->votes = {this->local_member.id};
    this->reset_election_timer();
    for (const member& voter : this->latest_membership.voters) {
        if (voter.id != this->local_member.id) {
            this->send(voter.id,
                       vote_request{term_number(this->current_term.value() + 1), this->local_member,
                                    this->last_index(), this->term_at(this->last_index()), true});
        }
    }
    this->count_votes();
}

void replica::start_election() {
    this->role = role_kind::candidate;
    this->votes_requested_at = this->now;
    this->enter_term(term_number(this->current_term.value() + 1), this->local_member.id);
    this->votes = {this->local_member.id};
    this->reset_election_timer();
    for (const member& voter : this->latest_membership.voters) {
        if (voter.id != this->local_member.id) {
            this->send(voter.id,
                       vote_request{this->current_term, this->local_member, this->last_index(),
                                    this->term_at(this->last_index()), false});
        }
    }
    this->count_votes();
}

void replica::count_votes() {
    std::set<instance_id> counted = this->votes;
    counted.erase(this->latest_membership.joining);
    if (!this->has_majority(counted, this->latest_membership)) {
        return;
    }
    if (this->role == role_kind::pre_candidate) {
        this->start_election();
    } else if (this->role == role_kind::candidate) {
        this->become_leader();
    }
}

actions replica::resign(time_point moment) {
    this->now = moment;
    if (this->is_leader()) {
        const instance_id successor = this->choose_successor();
        for (const auto& [id, state] : this->followers) {
            this->send(id, resignation{this->current_term, this->local_member, successor});
        }
    }
    this->become_follower(this->current_term);
    return std::exchange(this->output, {});
}

instance_id replica::choose_successor() const {
    instance_id successor;
    log_index longest;
    for (const auto& [id, state] : this->followers) {
        const bool is_eligible = !this->learners.contains(id) && !this->leaving.contains(id) &&
                                 this->now - state.last_contact < this->limits.min_election_timeout;
        if (is_eligible && (successor.value().empty() || state.match > longest)) {
            successor = id;
            longest = state.match;
        }
    }
    return successor;
}

void replica::on(const resignation& notice) {
    if (notice.term != this->current_term || notice.leader.id != this->known_leader) {
        return;
    }
    this->known_leader = instance_id();
    this->leader_lease_end = this->now;
    if (notice.successor == this->local_member.id && this->is_voter()) {
        this->start_pre_vote();
    } else {
        this->reset_election_timer();
    }
}

void replica::reset_election_timer() {
    if (!this->is_voter() && this->wakeup > this->now) {
        // Contact with the leader must not postpone the next join request.
        return;
    }
    const auto range =
        (this->limits.max_election_timeout - this->limits.min_election_timeout).count();
    const auto jitter =
        static_cast<duration::rep>(this->random() % static_cast<std::uint64_t>(range));
    this->wakeup = this->now + this->limits.min_election_timeout + duration(jitter);
}

void replica::persist_current_vote() {
    this->output.push_back(persist_vote{this->current_term, this->voted_for});
}

} // namespace kingcupcart::quorum
