#include "quorum/replica.h"

#include "quorum/internal/log_arithmetic.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::quorum {

replica::replica(member self, std::vector<instance_id> others, const stored_state& stored,
                 replica_limits limits, std::uint64_t seed, time_point now)
    : self(std::move(self)),
      others(std::move(others)),
      limits(limits),
      random(seed),
      current_term(stored.term),
      voted_for(stored.voted_for),
      snapshot_index(stored.snapshot_index),
      snapshot_term(stored.snapshot_term),
      snapshot_voters(stored.snapshot_voters),
      log(stored.entries),
      commit_index(stored.snapshot_index),
      applied_index(stored.snapshot_index),
      now(now) {
    this->refresh_membership();
    this->arm_election();
}

log_index replica::last_index() const {
    return after(this->snapshot_index, this->log.size());
}

bool replica::is_voter() const {
    return this->is_known_voter(this->self);
}

bool replica::is_known_voter(const member& one) const {
    const auto& voters = this->latest_membership.voters;
    return std::find(voters.begin(), voters.end(), one) != voters.end();
}

const log_entry& replica::entry_at(log_index index) const {
    return this->log.at(index.value() - this->snapshot_index.value() - 1);
}

term_number replica::term_at(log_index index) const {
    if (index == this->snapshot_index) {
        return this->snapshot_term;
    }
    return this->entry_at(index).term;
}

void replica::refresh_membership() {
    this->latest_membership = this->snapshot_voters;
    for (const log_entry& entry : this->log) {
        if (entry.change) {
            this->latest_membership = *entry.change;
        }
    }
}

actions replica::found(time_point moment) {
    this->now = moment;
    if (this->last_index() > log_index(0)) {
        return {};
    }
    this->current_term = term_number(1);
    this->voted_for = this->self.id;
    this->keep_vote_now();
    log_entry first;
    first.term = this->current_term;
    first.change = membership{{this->self}, instance_id()};
    this->append(first);
    this->become_leader();
    this->advance_commit();
    return std::exchange(this->output, {});
}

actions replica::adopt(const membership& initial_members, time_point moment) {
    this->now = moment;
    if (this->last_index() > log_index(0) || !this->latest_membership.voters.empty()) {
        return {};
    }
    this->snapshot_voters = initial_members;
    this->refresh_membership();
    this->arm_election();
    this->output.push_back(
        persist_snapshot{this->snapshot_index, this->snapshot_term, this->snapshot_voters, {}});
    this->output.push_back(persist_entries{after(this->snapshot_index), {}});
    return std::exchange(this->output, {});
}

actions replica::handle(const message& incoming, time_point moment) {
    this->now = moment;
    std::visit([this](const auto& alternative) { this->on(alternative); }, incoming);
    return std::exchange(this->output, {});
}

actions replica::handle_timer(time_point moment) {
    this->now = moment;
    if (moment < this->wakeup) {
        return {};
    }
    if (this->role == role_kind::leader) {
        this->check_majority_heard();
    }
    if (this->role == role_kind::leader) {
        this->lead();
    } else if (this->is_voter()) {
        this->begin_trial();
    } else {
        for (const instance_id& other : this->others) {
            this->send(other, join_request{this->self});
        }
        this->wakeup = this->now + this->limits.join_interval;
    }
    return std::exchange(this->output, {});
}

replica::proposal replica::propose(const std::string& command, time_point moment) {
    this->now = moment;
    if (!this->is_leader()) {
        return {};
    }
    log_entry entry;
    entry.term = this->current_term;
    entry.command = command;
    this->append(entry);
    const log_index index = this->last_index();
    for (const auto& [id, state] : this->followers) {
        this->replicate_to(id);
    }
    this->advance_commit();
    return {index, std::exchange(this->output, {})};
}

void replica::on(const append_entries_request& sent) {
    if (sent.term < this->current_term) {
        this->send(sent.leader.id,
                   append_entries_response{this->current_term, this->self, false, {}});
        return;
    }
    if (sent.term > this->current_term || this->role != role_kind::follower) {
        this->become_follower(sent.term);
    }
    this->known_leader = sent.leader.id;
    this->leader_heard = this->now;
    this->arm_election();
    append_entries_response answer{this->current_term, this->self, false, this->last_index()};
    const bool has_previous = sent.previous_index <= this->last_index();
    if (sent.previous_index < this->snapshot_index) {
        answer.match = this->snapshot_index;
    } else if (has_previous && this->term_at(sent.previous_index) == sent.previous_term) {
        this->take_entries(sent);
        answer.is_taken = true;
        answer.match = after(sent.previous_index, sent.entries.size());
        if (sent.committed > this->commit_index) {
            this->commit_index = std::min(sent.committed, answer.match);
            this->apply_committed();
        }
    } else if (has_previous) {
        answer.match = before(sent.previous_index);
    }
    this->send(sent.leader.id, answer);
}

void replica::take_entries(const append_entries_request& sent) {
    std::size_t known = 0;
    log_index index = after(sent.previous_index);
    while (known < sent.entries.size() && index <= this->last_index() &&
           this->term_at(index) == sent.entries[known].term) {
        ++known;
        index = after(index);
    }
    if (known == sent.entries.size()) {
        return;
    }
    this->log.resize(index.value() - this->snapshot_index.value() - 1);
    const std::vector<log_entry> fresh(sent.entries.begin() + static_cast<std::ptrdiff_t>(known),
                                       sent.entries.end());
    this->log.insert(this->log.end(), fresh.begin(), fresh.end());
    this->refresh_membership();
    this->output.push_back(persist_entries{index, fresh});
}

replica::progress* replica::heard_from(const member& follower, term_number term) {
    if (term > this->current_term) {
        this->become_follower(term);
        return nullptr;
    }
    const auto found = this->followers.find(follower.id);
    if (!this->is_leader() || term < this->current_term || found == this->followers.end()) {
        return nullptr;
    }
    const auto learner = this->learners.find(follower.id);
    const bool is_right_disk = this->is_known_voter(follower) ||
                               (learner != this->learners.end() && learner->second == follower);
    if (!is_right_disk) {
        return nullptr;
    }
    found->second.last_heard = this->now;
    return &found->second;
}

void replica::on(const append_entries_response& told) {
    progress* heard = this->heard_from(told.follower, told.term);
    if (heard == nullptr || heard->is_observer) {
        return;
    }
    progress& state = *heard;
    if (!told.is_taken) {
        if (told.match < state.match) {
            // It was said before the follower took more.
            return;
        }
        const log_index wanted = after(std::min(told.match, before(state.next)));
        if (!state.is_probed || wanted < state.next) {
            state.is_probed = true;
            state.next = std::max(wanted, log_index(1));
            this->replicate_to(told.follower.id);
        }
        return;
    }
    if (std::exchange(state.is_probed, false)) {
        state.next = after(told.match);
    }
    state.match = std::max(state.match, told.match);
    state.next = std::max(state.next, after(state.match));
    this->advance_commit();
    this->adjust_membership();
    // A change of membership may have let this follower go.
    const auto still = this->followers.find(told.follower.id);
    if (still != this->followers.end() && still->second.next <= this->last_index()) {
        this->replicate_to(told.follower.id);
    }
}

void replica::on(const join_request& asked) {
    if (!this->is_leader() || this->is_known_voter(asked.joining)) {
        return;
    }
    const auto known = this->learners.find(asked.joining.id);
    if (known != this->learners.end() && known->second == asked.joining) {
        return;
    }
    const auto& voters = this->latest_membership.voters;
    const bool replaces_disk = std::any_of(voters.begin(), voters.end(), [&](const member& voter) {
        return voter.id == asked.joining.id;
    });
    const bool is_needed =
        this->limits.voters_wanted == 0 || replaces_disk || !this->has_standbys();
    this->learners.insert_or_assign(asked.joining.id, asked.joining);
    progress begun{after(this->last_index()), log_index(0), this->now};
    begun.is_observer = !is_needed;
    this->followers.insert_or_assign(asked.joining.id, begun);
    this->replicate_to(asked.joining.id);
}

void replica::become_follower(term_number term) {
    const bool was_leader = this->is_leader();
    if (term > this->current_term) {
        this->current_term = term;
        this->voted_for = instance_id();
        this->keep_vote_now();
    }
    this->role = role_kind::follower;
    this->known_leader = instance_id();
    this->followers.clear();
    this->learners.clear();
    this->arm_election();
    if (was_leader) {
        this->output.push_back(leadership_changed{false});
    }
}

void replica::apply_committed() {
    while (this->applied_index < this->commit_index) {
        this->applied_index = after(this->applied_index);
        const log_entry& entry = this->entry_at(this->applied_index);
        if (!entry.command.empty()) {
            this->output.push_back(apply_command{this->applied_index, entry.command});
        }
    }
}

std::optional<log_index> replica::pending_change() const {
    for (log_index index = this->last_index(); index > this->commit_index; index = before(index)) {
        if (this->entry_at(index).change) {
            return index;
        }
    }
    return std::nullopt;
}

bool replica::has_majority(const std::set<instance_id>& agreeing, const membership& among) const {
    const auto count = std::count_if(among.voters.begin(), among.voters.end(),
                                     [&](const member& one) { return agreeing.contains(one.id); });
    return static_cast<std::size_t>(count) * 2 > among.voters.size();
}

void replica::send(const instance_id& to, message content) {
    this->output.push_back(send_message{to, std::move(content)});
}

} // namespace kingcupcart::quorum
