#include "quorum/internal/log_arithmetic.h"
#include "quorum/replica.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>

/// Snapshots: compacts the log, and sends the state piece by piece to followers that need entries
/// which are no longer in the log.
namespace kingcupcart::quorum {

bool replica::is_compaction_due(std::size_t log_bytes, std::size_t snapshot_bytes) const {
    const std::size_t growth = std::max(this->limits.snapshot_growth_bytes, snapshot_bytes / 2);
    const bool is_postponed =
        log_bytes <= growth + this->limits.postponed_growth_bytes &&
        std::any_of(this->followers.begin(), this->followers.end(),
                    [this](const auto& item) { return this->is_catching_up(item.second); });
    return log_bytes > growth && !is_postponed;
}

bool replica::is_catching_up(const progress& state) const {
    return !state.is_observer && this->now - state.last_contact <= this->limits.absence_timeout &&
           (state.transfer || state.match == log_index(0) ||
            before(state.next) < this->commit_index);
}

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
    this->snapshot_piece_bytes.clear();
    this->output.push_back(persist_snapshot{index, this->snapshot_term, this->snapshot_voters, {}});
    this->output.push_back(persist_entries{after(index), this->log});
    return std::exchange(this->output, {});
}

void replica::report_progress(const instance_id& to, snapshot_transfer& transfer,
                              snapshot_progress::phase_kind phase) {
    const auto received =
        std::min<std::size_t>(transfer.pieces_received, this->snapshot_piece_bytes.size());
    const auto begin = this->snapshot_piece_bytes.begin();
    transfer.reported_at = this->now;
    this->output.push_back(snapshot_progress{
        to, transfer.index, phase, transfer.pieces_received, this->snapshot_piece_bytes.size(),
        std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(received), std::size_t{0}),
        this->now - transfer.started_at});
}

void replica::end_transfer(const instance_id& to, progress& state) {
    if (!state.transfer || state.match < state.transfer->index) {
        return;
    }
    if (state.transfer->index == this->snapshot_index) {
        state.transfer->pieces_received = this->snapshot_piece_bytes.size();
    }
    this->report_progress(to, *state.transfer, snapshot_progress::phase_kind::ended);
    state.transfer.reset();
}

void replica::send_pieces(const instance_id& to, progress& state) {
    if (!state.transfer || state.transfer->index != this->snapshot_index) {
        state.transfer =
            snapshot_transfer{this->snapshot_index, 0, 0, this->now, this->now, {}, {}};
        this->report_progress(to, *state.transfer, snapshot_progress::phase_kind::begun);
    } else if (this->now - state.transfer->reported_at >= this->limits.progress_report_interval) {
        this->report_progress(to, *state.transfer, snapshot_progress::phase_kind::in_progress);
    }
    snapshot_transfer& transfer = *state.transfer;
    const std::uint64_t count = this->snapshot_piece_bytes.size();
    if (count == 0 || this->now - transfer.active_at >= this->limits.snapshot_piece_timeout) {
        // One piece only, since the follower may not be reading. One that has all pieces receives
        // the last one again, and responds that it has the state.
        transfer.pieces_sent =
            std::min(transfer.pieces_received, std::max<std::uint64_t>(count, 1) - 1);
        this->send_piece(to, transfer);
        return;
    }
    while (transfer.pieces_sent < count &&
           this->bytes_in_flight(transfer) < this->limits.max_catch_up_bytes_in_flight) {
        this->send_piece(to, transfer);
    }
}

std::size_t replica::bytes_in_flight(const snapshot_transfer& transfer) const {
    const auto begin = this->snapshot_piece_bytes.begin();
    return std::accumulate(begin + static_cast<std::ptrdiff_t>(transfer.pieces_received),
                           begin + static_cast<std::ptrdiff_t>(transfer.pieces_sent),
                           std::size_t{0});
}

void replica::send_piece(const instance_id& to, snapshot_transfer& transfer) {
    transfer.active_at = this->now;
    install_snapshot_request next;
    next.term = this->current_term;
    next.leader = this->local_member;
    next.sent_at = this->now;
    next.index = this->snapshot_index;
    next.index_term = this->snapshot_term;
    next.voters = this->snapshot_voters;
    next.piece_count = this->snapshot_piece_bytes.size();
    next.piece = transfer.pieces_sent++;
    this->output.push_back(send_snapshot_piece{to, std::move(next)});
}

void replica::on(const install_snapshot_response& response) {
    progress* state =
        this->record_contact(response.follower, response.term, response.request_sent_at);
    if (state == nullptr || !state->transfer || response.index != this->snapshot_index ||
        state->transfer->index != this->snapshot_index ||
        response.pieces_received > this->snapshot_piece_bytes.size() ||
        before(state->next) >= this->snapshot_index) {
        return;
    }
    snapshot_transfer& transfer = *state->transfer;
    if (response.pieces_received < transfer.pieces_received) {
        if (response.request_sent_at <= transfer.acknowledged_request_at) {
            // A stale response, sent before the follower received further pieces.
            return;
        }
        // The follower has restarted, and has lost the pieces that it had.
        transfer.pieces_sent = response.pieces_received;
        transfer.acknowledged_request_at = this->now;
    }
    transfer.pieces_received = response.pieces_received;
    transfer.pieces_sent = std::max(transfer.pieces_sent, response.pieces_received);
    transfer.acknowledged_request_at =
        std::max(transfer.acknowledged_request_at, response.request_sent_at);
    transfer.active_at = this->now;
    this->send_pieces(response.follower.id, *state);
}

void replica::on(const install_snapshot_request& request) {
    if (request.term < this->current_term) {
        return;
    }
    this->follow(request.leader, request.term);
    if (request.index > this->commit_index) {
        if (this->incoming_snapshot.index != request.index) {
            this->incoming_snapshot = {request.index, std::vector<std::string>(request.piece_count),
                                       std::vector<bool>(request.piece_count), 0};
        }
        auto& incoming = this->incoming_snapshot;
        if (request.piece < incoming.pieces.size() && !incoming.is_received[request.piece]) {
            incoming.pieces[request.piece] = request.data;
            incoming.is_received[request.piece] = true;
        }
        while (incoming.first_missing < incoming.pieces.size() &&
               incoming.is_received[incoming.first_missing]) {
            ++incoming.first_missing;
        }
        if (incoming.first_missing < incoming.pieces.size()) {
            this->send(request.leader.id, install_snapshot_response{
                                              this->current_term, this->local_member, request.index,
                                              incoming.first_missing, request.sent_at});
            return;
        }
        this->install_snapshot(request);
    }
    this->send(request.leader.id,
               append_entries_response{this->current_term, this->local_member, true,
                                       this->commit_index, request.sent_at});
}

void replica::release_outdated_pieces() {
    if (this->incoming_snapshot.index <= this->commit_index) {
        this->incoming_snapshot = {};
    }
}

std::size_t replica::incoming_snapshot_bytes() const {
    const auto& pieces = this->incoming_snapshot.pieces;
    return std::accumulate(
        pieces.begin(), pieces.end(), std::size_t{0},
        [](std::size_t bytes, const std::string& piece) { return bytes + piece.size(); });
}

void replica::install_snapshot(const install_snapshot_request& last) {
    this->snapshot_index = last.index;
    this->snapshot_term = last.index_term;
    this->snapshot_voters = last.voters;
    this->snapshot_piece_bytes.clear();
    for (const std::string& piece : this->incoming_snapshot.pieces) {
        this->snapshot_piece_bytes.push_back(piece.size());
    }
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
