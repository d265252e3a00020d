#include "quorum/internal/log_arithmetic.h"
#include "quorum/replica.h"

#include <algorithm>
#include <utility>

/// Snapshots of a replica: the log before them is dropped, and followers that need what was dropped
/// are sent the state, piece by piece.
namespace kingcupcart::quorum {

actions replica::compact(log_index index) {
    if (index <= this->snapshot_index || index > this->applied_index) {
        return {};
    }
    const auto dropped = static_cast<std::ptrdiff_t>(index.value() - this->snapshot_index.value());
    for (std::ptrdiff_t i = 0; i < dropped; ++i) {
        const log_entry& entry = this->log[static_cast<std::size_t>(i)];
        if (entry.change) {
            this->snapshot_voters = *entry.change;
        }
    }
    this->snapshot_term = this->term_at(index);
    this->log.erase(this->log.begin(), this->log.begin() + dropped);
    this->snapshot_index = index;
    this->output.push_back(persist_snapshot{index, this->snapshot_term, this->snapshot_voters, {}});
    this->output.push_back(persist_entries{after(index), this->log});
    return std::exchange(this->output, {});
}

void replica::send_next_piece(const instance_id& to, progress& state) {
    if (state.snapshot_index != this->snapshot_index) {
        state.snapshot_index = this->snapshot_index;
        state.pieces_received = 0;
    }
    state.snapshot_at = this->now;
    install_snapshot_request next;
    next.term = this->current_term;
    next.leader = this->self;
    next.index = this->snapshot_index;
    next.index_term = this->snapshot_term;
    next.voters = this->snapshot_voters;
    next.piece = state.pieces_received;
    this->output.push_back(send_piece{to, std::move(next)});
}

void replica::on(const install_snapshot_response& told) {
    progress* state = this->heard_from(told.follower, told.term);
    if (state == nullptr || told.index != this->snapshot_index ||
        before(state->next) >= this->snapshot_index) {
        return;
    }
    state->pieces_received = told.pieces_received;
    this->send_next_piece(told.follower.id, *state);
}

void replica::on(const install_snapshot_request& sent) {
    if (sent.term < this->current_term) {
        return;
    }
    if (sent.term > this->current_term || this->role != role_kind::follower) {
        this->become_follower(sent.term);
    }
    this->known_leader = sent.leader.id;
    this->leader_heard = this->now;
    this->arm_election();
    if (sent.index > this->commit_index) {
        if (this->incoming.leader != sent.leader.id || this->incoming.index != sent.index) {
            this->incoming = {sent.leader.id, sent.index, {}};
        }
        if (sent.piece < sent.piece_count && sent.piece == this->incoming.pieces.size()) {
            this->incoming.pieces.push_back(sent.data);
        }
        if (this->incoming.pieces.size() < sent.piece_count) {
            this->send(sent.leader.id,
                       install_snapshot_response{this->current_term, this->self, sent.index,
                                                 this->incoming.pieces.size()});
            return;
        }
        this->install_snapshot(sent);
    }
    this->send(sent.leader.id,
               append_entries_response{this->current_term, this->self, true, this->commit_index});
}

void replica::install_snapshot(const install_snapshot_request& last) {
    this->snapshot_index = last.index;
    this->snapshot_term = last.index_term;
    this->snapshot_voters = last.voters;
    this->log.clear();
    this->commit_index = last.index;
    this->applied_index = last.index;
    this->refresh_membership();
    const auto pieces =
        std::make_shared<const std::vector<std::string>>(std::move(this->incoming.pieces));
    this->incoming = {};
    this->output.push_back(persist_snapshot{last.index, last.index_term, last.voters, pieces});
    this->output.push_back(persist_entries{after(last.index), {}});
    this->output.push_back(restore_state{pieces});
}

} // namespace kingcupcart::quorum
