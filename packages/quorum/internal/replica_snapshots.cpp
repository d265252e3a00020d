#include "quorum/internal/log_arithmetic.h"
#include "quorum/replica.h"

#include <algorithm>
#include <utility>

/// Snapshots: compacts the log, and sends the state piece by piece to followers that need entries
/// which are no longer in the log.
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
    state.piece_sent_at = this->now;
    install_snapshot_request next;
    next.term = this->current_term;
    next.leader = this->local_member;
    next.sent_at = this->now;
    next.index = this->snapshot_index;
    next.index_term = this->snapshot_term;
    next.voters = this->snapshot_voters;
    next.piece = state.pieces_received;
    this->output.push_back(send_snapshot_piece{to, std::move(next)});
}

void replica::on(const install_snapshot_response& response) {
    progress* state =
        this->record_contact(response.follower, response.term, response.request_sent_at);
    if (state == nullptr || response.index != this->snapshot_index ||
        before(state->next) >= this->snapshot_index) {
        return;
    }
    state->pieces_received = response.pieces_received;
    this->send_next_piece(response.follower.id, *state);
}

void replica::on(const install_snapshot_request& request) {
    if (request.term < this->current_term) {
        return;
    }
    if (request.term > this->current_term || this->role != role_kind::follower) {
        this->become_follower(request.term);
    }
    this->known_leader = request.leader.id;
    this->last_leader_contact = this->now;
    this->reset_election_timer();
    if (request.index > this->commit_index) {
        if (this->incoming_snapshot.leader != request.leader.id ||
            this->incoming_snapshot.index != request.index) {
            this->incoming_snapshot = {request.leader.id, request.index, {}};
        }
        if (request.piece < request.piece_count &&
            request.piece == this->incoming_snapshot.pieces.size()) {
            this->incoming_snapshot.pieces.push_back(request.data);
        }
        if (this->incoming_snapshot.pieces.size() < request.piece_count) {
            this->send(
                request.leader.id,
                install_snapshot_response{this->current_term, this->local_member, request.index,
                                          this->incoming_snapshot.pieces.size(), request.sent_at});
            return;
        }
        this->install_snapshot(request);
    }
    this->send(request.leader.id,
               append_entries_response{this->current_term, this->local_member, true,
                                       this->commit_index, request.sent_at});
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
        std::make_shared<const std::vector<std::string>>(std::move(this->incoming_snapshot.pieces));
    this->incoming_snapshot = {};
    this->output.push_back(persist_snapshot{last.index, last.index_term, last.voters, pieces});
    this->output.push_back(persist_entries{after(last.index), {}});
    this->output.push_back(restore_state{pieces});
}

} // namespace kingcupcart::quorum
