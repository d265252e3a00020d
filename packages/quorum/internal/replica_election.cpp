#include "quorum/internal/log_arithmetic.h"
#include "quorum/replica.h"

#include <utility>

/// Elections of a replica: who may lead, and whom it gives its vote.
namespace kingcupcart::quorum {

void replica::on(const vote_request& asked) {
    if (this->is_leader() && !this->is_known_voter(asked.candidate)) {
        // It was taken out while it was away, and does not know yet.
        this->on(join_request{asked.candidate});
        return;
    }
    const bool hears_leader =
        !this->known_leader.value().empty() &&
        (this->is_leader() || this->now - this->leader_heard < this->limits.election_least);
    vote_response answer;
    answer.voter = this->self;
    answer.is_pre_vote = asked.is_pre_vote;
    if (asked.is_pre_vote) {
        answer.term = asked.term;
        answer.is_granted = this->is_voter() && !hears_leader && asked.term > this->current_term &&
                            this->is_up_to_date(asked);
        this->send(asked.candidate.id, answer);
        return;
    }
    if (hears_leader) {
        // One that was cut off must not unseat a leader that others hear.
        return;
    }
    if (asked.term > this->current_term) {
        this->become_follower(asked.term);
    }
    const bool is_free = this->voted_for.value().empty() || this->voted_for == asked.candidate.id;
    answer.term = this->current_term;
    answer.is_granted = asked.term == this->current_term && is_free && this->is_voter() &&
                        this->is_known_voter(asked.candidate) && this->is_up_to_date(asked);
    if (answer.is_granted) {
        this->voted_for = asked.candidate.id;
        this->keep_vote_now();
        this->arm_election();
    }
    this->send(asked.candidate.id, answer);
}

bool replica::is_up_to_date(const vote_request& asked) const {
    const term_number params = this->term_at(this->last_index());
    return asked.last_term > params ||
           (asked.last_term == params && asked.last_index >= this->last_index());
}

void replica::on(const vote_response& told) {
    if (!told.is_pre_vote && told.term > this->current_term) {
        this->become_follower(told.term);
        return;
    }
    if (!told.is_granted || !this->is_known_voter(told.voter)) {
        return;
    }
    const bool is_for_trial = this->role == role_kind::pre_candidate && told.is_pre_vote &&
                              told.term.value() == this->current_term.value() + 1;
    const bool is_for_election =
        this->role == role_kind::candidate && !told.is_pre_vote && told.term == this->current_term;
    if (is_for_trial || is_for_election) {
        this->votes.insert(told.voter.id);
        this->count_votes();
    }
}

void replica::begin_trial() {
    this->role = role_kind::pre_candidate;
    this->known_leader = instance_id();
    this->votes = {this->self.id};
    this->arm_election();
    for (const member& voter : this->latest_membership.voters) {
        if (voter.id != this->self.id) {
            this->send(voter.id,
                       vote_request{term_number(this->current_term.value() + 1), this->self,
                                    this->last_index(), this->term_at(this->last_index()), true});
        }
    }
    this->count_votes();
}

void replica::begin_election() {
    this->role = role_kind::candidate;
    this->current_term = term_number(this->current_term.value() + 1);
    this->voted_for = this->self.id;
    this->keep_vote_now();
    this->votes = {this->self.id};
    this->arm_election();
    for (const member& voter : this->latest_membership.voters) {
        if (voter.id != this->self.id) {
            this->send(voter.id, vote_request{this->current_term, this->self, this->last_index(),
                                              this->term_at(this->last_index()), false});
        }
    }
    this->count_votes();
}

void replica::count_votes() {
    if (!this->has_majority(this->votes, this->latest_membership)) {
        return;
    }
    if (this->role == role_kind::pre_candidate) {
        this->begin_election();
    } else if (this->role == role_kind::candidate) {
        this->become_leader();
    }
}

void replica::arm_election() {
    if (!this->is_voter() && this->wakeup > this->now) {
        // It goes on asking to join, however often it hears from the leader.
        return;
    }
    const auto spread = (this->limits.election_most - this->limits.election_least).count();
    const auto extra =
        static_cast<duration::rep>(this->random() % static_cast<std::uint64_t>(spread));
    this->wakeup = this->now + this->limits.election_least + duration(extra);
}

void replica::keep_vote_now() {
    this->output.push_back(persist_vote{this->current_term, this->voted_for});
}

} // namespace kingcupcart::quorum
