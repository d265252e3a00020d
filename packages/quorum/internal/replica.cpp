#include "quorum/replica.h"

#include "base/stable_hash.h"
#include "quorum/internal/log_arithmetic.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::quorum {

namespace {

/// Processes that start at the same moment may have the same seed. Their election timeouts have to
/// differ nevertheless, or they would split the votes again and again.
std::uint64_t make_member_seed(std::uint64_t seed, const member& local) {
    return seed ^ stable_hash(local.id.value()) ^ local.disk.value();
}

} // namespace

replica::replica(member local_member, std::vector<instance_id> peers, const stored_state& stored,
                 replica_limits limits, std::uint64_t seed, time_point now)
    : local_member(std::move(local_member)),
      peers(std::move(peers)),
      limits(limits),
      random(make_member_seed(seed, this->local_member)),
      current_term(stored.term),
      voted_for(stored.voted_for),
      leader_lease_end(now + limits.min_election_timeout),
      snapshot_index(stored.snapshot_index),
      snapshot_term(stored.snapshot_term),
      snapshot_voters(stored.snapshot_voters),
      snapshot_piece_bytes(stored.snapshot_piece_bytes),
      log(stored.entries),
      commit_index(stored.snapshot_index),
      applied_index(stored.snapshot_index),
      now(now) {
    this->refresh_membership();
    this->reset_election_timer();
    if (!this->is_voter()) {
        this->wakeup = now;
    }
}

log_index replica::last_index() const {
    return after(this->snapshot_index, this->log.size());
}

bool replica::is_voter() const {
    return this->is_known_voter(this->local_member);
}

bool replica::is_voter_until_commit() const {
    if (!this->uncommitted_membership()) {
        return false;
    }
    membership previous = this->snapshot_voters;
    membership latest = this->snapshot_voters;
    for (const log_entry& entry : this->log) {
        if (entry.change) {
            previous = std::exchange(latest, *entry.change);
        }
    }
    return std::find(previous.voters.begin(), previous.voters.end(), this->local_member) !=
           previous.voters.end();
}

bool replica::is_known_voter(const member& candidate) const {
    const auto& voters = this->latest_membership.voters;
    return std::find(voters.begin(), voters.end(), candidate) != voters.end();
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

actions replica::bootstrap(time_point moment) {
    this->now = moment;
    if (this->last_index() > log_index(0)) {
        return {};
    }
    this->enter_term(term_number(1), this->local_member.id);
    log_entry first;
    first.term = this->current_term;
    first.change = membership{{this->local_member}, instance_id()};
    this->append(first);
    this->output.push_back(
        voters_changed{this->last_index(), *first.change, voters_change_reason::bootstrap});
    this->become_leader();
    this->advance_commit();
    return std::exchange(this->output, {});
}

actions replica::adopt_initial_members(const membership& initial_members, time_point moment) {
    this->now = moment;
    if (this->last_index() > log_index(0) || !this->latest_membership.voters.empty()) {
        return {};
    }
    this->snapshot_voters = initial_members;
    this->refresh_membership();
    this->reset_election_timer();
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
        this->step_down_without_majority();
    }
    if (this->role == role_kind::leader) {
        this->replicate_to_all();
    } else if (this->is_voter()) {
        this->start_pre_vote();
    } else {
        for (const instance_id& other : this->peers) {
            this->send(other, join_request{this->local_member});
        }
        this->wakeup = this->now + this->limits.join_interval;
        if (this->is_voter_until_commit()) {
            this->start_pre_vote();
        }
    }
    return std::exchange(this->output, {});
}

actions replica::handle_connected(const instance_id& peer, time_point moment) {
    this->now = moment;
    if (!this->is_voter()) {
        this->send(peer, join_request{this->local_member});
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

void replica::on(const append_entries_request& request) {
    if (request.term < this->current_term) {
        this->send(request.leader.id,
                   append_entries_response{
                       this->current_term, this->local_member, false, {}, request.sent_at});
        return;
    }
    this->follow(request.leader, request.term);
    append_entries_response reply{this->current_term, this->local_member, false, this->last_index(),
                                  request.sent_at};
    const bool has_previous = request.previous_index <= this->last_index();
    if (request.previous_index < this->snapshot_index) {
        // What the snapshot covers is committed, so the leader holds it too. A rejection would not
        // move a leader that searches below it.
        reply.is_accepted = true;
        reply.match = this->snapshot_index;
    } else if (has_previous && this->term_at(request.previous_index) == request.previous_term) {
        this->append_received_entries(request);
        reply.is_accepted = true;
        reply.match = after(request.previous_index, request.entries.size());
        if (request.committed > this->commit_index) {
            this->commit_index = std::min(request.committed, reply.match);
            this->apply_committed();
        }
    } else if (has_previous) {
        reply.match = before(request.previous_index);
    }
    this->send(request.leader.id, reply);
}

void replica::append_received_entries(const append_entries_request& request) {
    std::size_t matching = 0;
    log_index index = after(request.previous_index);
    while (matching < request.entries.size() && index <= this->last_index() &&
           this->term_at(index) == request.entries[matching].term) {
        ++matching;
        index = after(index);
    }
    if (matching == request.entries.size()) {
        return;
    }
    this->log.resize(index.value() - this->snapshot_index.value() - 1);
    const std::vector<log_entry> new_entries(
        request.entries.begin() + static_cast<std::ptrdiff_t>(matching), request.entries.end());
    this->log.insert(this->log.end(), new_entries.begin(), new_entries.end());
    this->refresh_membership();
    this->output.push_back(persist_entries{index, new_entries});
}

replica::progress* replica::record_contact(const member& follower, term_number term,
                                           time_point request_sent_at) {
    if (term > this->current_term) {
        this->become_follower(term);
        return nullptr;
    }
    const auto known = this->followers.find(follower.id);
    if (!this->is_leader() || term < this->current_term || known == this->followers.end()) {
        return nullptr;
    }
    const auto learner = this->learners.find(follower.id);
    if (learner != this->learners.end() && learner->second != follower) {
        if (!this->is_known_voter(follower) || request_sent_at <= known->second.last_contact) {
            // Sent before the disk was lost. It must not count for the disk that replaces it.
            return nullptr;
        }
        // The counted disk answers a request from after the other one was last heard of, so it is
        // the other one that is gone: its message came late.
        this->learners.erase(learner);
    } else if (learner == this->learners.end() && !this->is_known_voter(follower)) {
        if (request_sent_at >= this->voters_changed_at) {
            this->on(join_request{follower});
        }
        return nullptr;
    }
    time_point& last_contact = known->second.last_contact;
    last_contact = std::max(last_contact, std::min(request_sent_at, this->now));
    return &known->second;
}

void replica::on(const append_entries_response& response) {
    progress* sender =
        this->record_contact(response.follower, response.term, response.request_sent_at);
    if (sender == nullptr || sender->is_observer) {
        return;
    }
    progress& state = *sender;
    if (!response.is_accepted) {
        if (response.match < state.match) {
            // A stale response, sent before the follower accepted further entries.
            return;
        }
        const log_index retry_index = after(std::min(response.match, before(state.next)));
        if (!state.is_probing || retry_index < state.next) {
            state.is_probing = true;
            state.next = std::max(retry_index, log_index(1));
            this->replicate_to(response.follower.id);
        }
        return;
    }
    if (std::exchange(state.is_probing, false)) {
        state.next = after(response.match);
    }
    state.match = std::max(state.match, response.match);
    state.next = std::max(state.next, after(state.match));
    this->end_transfer(response.follower.id, state);
    this->advance_commit();
    this->adjust_membership();
    // adjust_membership() may have removed this follower.
    const auto remaining = this->followers.find(response.follower.id);
    if (remaining != this->followers.end() && remaining->second.next <= this->last_index()) {
        this->replicate_to(response.follower.id);
    }
}

void replica::on(const join_request& request) {
    if (!this->is_leader() || this->is_known_voter(request.joining)) {
        return;
    }
    const auto known = this->learners.find(request.joining.id);
    if (known != this->learners.end() && known->second == request.joining) {
        return;
    }
    const auto& voters = this->latest_membership.voters;
    const auto replaced = std::find_if(voters.begin(), voters.end(), [&](const member& voter) {
        return voter.id == request.joining.id;
    });
    const bool replaces_disk = replaced != voters.end();
    if (replaces_disk) {
        this->output.push_back(disk_lost{*replaced, request.joining});
    }
    const bool is_needed =
        this->limits.desired_voters == 0 || replaces_disk || !this->has_enough_standbys();
    this->learners.insert_or_assign(request.joining.id, request.joining);
    progress initial_progress{after(this->last_index()), log_index(0), this->now, {}, {}, {}};
    initial_progress.is_observer = !is_needed;
    this->followers.insert_or_assign(request.joining.id, initial_progress);
    this->replicate_to(request.joining.id);
    if (replaces_disk) {
        this->adjust_membership();
    }
}

void replica::enter_term(term_number term, const instance_id& vote) {
    this->current_term = term;
    this->voted_for = vote;
    this->incoming_snapshot = {};
    this->persist_current_vote();
}

void replica::become_follower(term_number term) {
    const bool was_leader = this->is_leader();
    if (term > this->current_term) {
        this->enter_term(term, instance_id());
    }
    this->role = role_kind::follower;
    this->known_leader = instance_id();
    this->followers.clear();
    this->learners.clear();
    this->reset_election_timer();
    if (was_leader) {
        this->output.push_back(leadership_changed{false});
    }
}

void replica::follow(const member& leader, term_number term) {
    if (term > this->current_term || this->role != role_kind::follower) {
        this->become_follower(term);
    }
    this->known_leader = leader.id;
    this->leader_lease_end = this->now + this->limits.min_election_timeout;
    this->followed = {leader, this->now};
    this->reset_election_timer();
}

void replica::record_life(const member& sender) {
    if (sender == this->followed.leader) {
        this->followed.heard_at = this->now;
    }
}

void replica::apply_committed() {
    this->release_outdated_pieces();
    while (this->applied_index < this->commit_index) {
        this->applied_index = after(this->applied_index);
        const log_entry& entry = this->entry_at(this->applied_index);
        if (!entry.command.empty()) {
            this->output.push_back(apply_command{this->applied_index, entry.command});
        }
    }
}

std::optional<log_index> replica::uncommitted_membership() const {
    for (log_index index = this->last_index(); index > this->commit_index; index = before(index)) {
        if (this->entry_at(index).change) {
            return index;
        }
    }
    return std::nullopt;
}

membership replica::committed_membership() const {
    membership committed = this->snapshot_voters;
    for (log_index index = after(this->snapshot_index); index <= this->commit_index;
         index = after(index)) {
        if (const auto& change = this->entry_at(index).change) {
            committed = *change;
        }
    }
    return committed;
}

bool replica::has_majority(const std::set<instance_id>& supporters, const membership& among) const {
    const auto count =
        std::count_if(among.voters.begin(), among.voters.end(),
                      [&](const member& voter) { return supporters.contains(voter.id); });
    return static_cast<std::size_t>(count) * 2 > among.voters.size();
}

void replica::send(const instance_id& to, message content) {
    this->output.push_back(send_message{to, std::move(content)});
}

} // namespace kingcupcart::quorum
