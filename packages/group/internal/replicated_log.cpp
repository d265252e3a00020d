#include "group/replicated_log.h"

#include "journal/disk_storage.h"
#include "wire/storage_codec.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <type_traits>
#include <utility>
#include <variant>

namespace kingcupcart::group {

namespace {

/// Delay before the next snapshot after one that failed.
constexpr duration compaction_retry_interval = std::chrono::seconds(10);
/// Disk identity of each initial member where the configuration lists only the members' names.
constexpr std::uint64_t initial_member_disk = 1;

state_source source_of(quorum::snapshot_pieces pieces) {
    return [pieces = std::move(pieces), next = std::size_t{0}](std::string& piece) mutable {
        if (next == pieces->size()) {
            return false;
        }
        piece = pieces->at(next++);
        return true;
    };
}

std::string_view name_of(quorum::voters_change_reason reason) {
    switch (reason) {
    case quorum::voters_change_reason::bootstrap:
        return "bootstrap";
    case quorum::voters_change_reason::joined:
        return "joined";
    case quorum::voters_change_reason::standby_added:
        return "standby_added";
    case quorum::voters_change_reason::absent_or_leaving_removed:
        return "absent_or_leaving_removed";
    case quorum::voters_change_reason::surplus_removed:
        return "surplus_removed";
    case quorum::voters_change_reason::disk_replaced:
        return "disk_replaced";
    case quorum::voters_change_reason::replacement_finished:
        return "replacement_finished";
    }
    return "unknown";
}

std::string_view name_of(quorum::snapshot_progress::phase_kind phase) {
    switch (phase) {
    case quorum::snapshot_progress::phase_kind::begun:
        return "begun";
    case quorum::snapshot_progress::phase_kind::in_progress:
        return "in_progress";
    case quorum::snapshot_progress::phase_kind::ended:
        return "ended";
    }
    return "unknown";
}

void log_progress(const quorum::snapshot_progress& progress) {
    spdlog::info("snapshot to member instance={} index={} phase={} pieces={} of={} bytes={} ms={}",
                 progress.to.value(), progress.index.value(), name_of(progress.phase),
                 progress.pieces_received, progress.piece_count, progress.bytes_received,
                 std::chrono::duration_cast<std::chrono::milliseconds>(progress.elapsed).count());
}

} // namespace

outcome<std::unique_ptr<replicated_log>> replicated_log::open(const parameters& arguments,
                                                              callbacks notify) {
    std::unique_ptr<replicated_log> created(new replicated_log(arguments, std::move(notify)));
    BOOST_LEAF_CHECK(created->load());
    return created;
}

replicated_log::replicated_log(const parameters& arguments, callbacks notify)
    : params(arguments),
      notify(std::move(notify)),
      replica_timer([this] { this->handle_timer(); }),
      flush_wakeup([this] { this->flush(); }),
      resume_timer([this] { this->try_to_resume(); }) {}

replicated_log::~replicated_log() = default;

outcome<void> replicated_log::load() {
    const auto opened = value_or_error([this]() -> outcome<void> {
        BOOST_LEAF_AUTO(storage, this->open_storage());
        return this->open_journal(std::move(storage));
    });
    const auto* problem = std::get_if<error>(&opened);
    if (problem == nullptr) {
        this->start_replica();
        return {};
    }
    if (problem->code != error_code::storage_unavailable) {
        return fail(problem->code, problem->message);
    }
    this->discard_partial_state();
    this->start_replica();
    this->suspend(*problem);
    return {};
}

outcome<std::unique_ptr<journal::storage>> replicated_log::open_storage() const {
    std::unique_ptr<journal::storage> storage;
    if (this->params.open_storage) {
        BOOST_LEAF_ASSIGN(storage, this->params.open_storage());
    } else {
        BOOST_LEAF_ASSIGN(storage, journal::disk_storage::open(this->params.folder));
    }
    BOOST_LEAF_CHECK(storage->check_writable(this->refused_bytes));
    return storage;
}

outcome<void> replicated_log::open_journal(std::unique_ptr<journal::storage> storage) {
    this->stored = {};
    this->piece_positions.clear();
    this->snapshot_bytes = 0;
    this->needs_sync = false;
    this->notify.clear_state();
    BOOST_LEAF_AUTO(opened, journal::journal_file::open(
                                std::move(storage),
                                [this](std::string_view record, std::size_t position) {
                                    return this->load_record(record, position);
                                },
                                this->trusted_size));
    this->file = std::move(opened.file);
    if (opened.has_torn_tail) {
        spdlog::warn("journal: truncated a torn tail");
    }
    this->folder_was_empty = opened.was_empty;
    if (this->folder_was_empty) {
        BOOST_LEAF_CHECK(this->initialize_journal());
        BOOST_LEAF_CHECK(this->file->sync());
    }
    return {};
}

void replicated_log::start_replica() {
    this->vote = quorum::persist_vote{this->stored.term, this->stored.voted_for};
    if (this->stored.snapshot_index > quorum::log_index(0)) {
        this->notify.restored();
    }
    const time_point now = this->params.time->now();
    quorum::replica_limits limits;
    limits.desired_voters = this->params.desired_voters;
    this->replica = std::make_unique<quorum::replica>(
        quorum::member{this->params.local_id, this->disk}, this->params.peers, this->stored, limits,
        this->params.seed, now);
    // The replica has its own copy of the log.
    this->stored = {};
    this->replica->set_leaving(this->leaving);
    if (this->file == nullptr) {
        return;
    }
    if (this->folder_was_empty && this->params.may_bootstrap) {
        this->execute(this->replica->bootstrap(now));
    }
    if (!this->adopted_members.empty()) {
        this->execute(
            this->replica->adopt_initial_members({this->adopted_members, instance_id()}, now));
    }
    this->arm();
}

outcome<void> replicated_log::load_record(std::string_view bytes, std::size_t position) {
    BOOST_LEAF_AUTO(record, wire::decode_record(bytes));
    if (const auto* identity = std::get_if<wire::disk_identity>(&record)) {
        this->disk = identity->disk;
    } else if (const auto* vote = std::get_if<quorum::persist_vote>(&record)) {
        this->stored.term = vote->term;
        this->stored.voted_for = vote->voted_for;
    } else if (const auto* appended = std::get_if<quorum::persist_entries>(&record)) {
        auto& entries = this->stored.entries;
        entries.resize(appended->first.value() - this->stored.snapshot_index.value() - 1);
        entries.insert(entries.end(), appended->entries.begin(), appended->entries.end());
    } else if (const auto* snapshot = std::get_if<wire::snapshot_header>(&record)) {
        this->stored.snapshot_index = snapshot->index;
        this->stored.snapshot_term = snapshot->index_term;
        this->stored.snapshot_voters = snapshot->voters;
        this->stored.entries.clear();
        this->stored.snapshot_piece_bytes.clear();
        this->piece_positions.clear();
        this->notify.clear_state();
    } else {
        const auto& piece = std::get<wire::snapshot_piece>(record);
        this->snapshot_bytes += piece.data.size();
        this->piece_positions.push_back(position);
        this->stored.snapshot_piece_bytes.push_back(piece.data.size());
        BOOST_LEAF_CHECK(this->notify.load_piece(piece.data));
    }
    return {};
}

outcome<void> replicated_log::initialize_journal() {
    const auto& initial_members = this->params.initial_members;
    if (std::find(initial_members.begin(), initial_members.end(), this->params.local_id) !=
        initial_members.end()) {
        this->disk = quorum::disk_id(initial_member_disk);
    } else {
        std::random_device entropy;
        this->disk = quorum::disk_id((std::uint64_t{entropy()} << 32U) | entropy());
    }
    BOOST_LEAF_CHECK(this->file->append(wire::encode_record(wire::disk_identity{this->disk})));
    if (!initial_members.empty()) {
        wire::snapshot_header initial_snapshot;
        for (const instance_id& member_id : initial_members) {
            initial_snapshot.voters.voters.push_back(
                {member_id, quorum::disk_id(initial_member_disk)});
        }
        this->stored.snapshot_voters = initial_snapshot.voters;
        BOOST_LEAF_CHECK(this->file->append(wire::encode_record(initial_snapshot)));
    }
    return {};
}

void replicated_log::adopt_initial_members(const std::vector<quorum::member>& initial_members) {
    this->adopted_members = initial_members;
    if (!this->suspended) {
        this->execute(this->replica->adopt_initial_members({initial_members, instance_id()},
                                                           this->params.time->now()));
        this->arm();
    }
}

void replicated_log::set_peers(std::vector<instance_id> peers) {
    this->params.peers = std::move(peers);
    this->replica->set_peers(this->params.peers);
}

void replicated_log::set_leaving(std::set<instance_id> changed) {
    this->leaving = std::move(changed);
    this->replica->set_leaving(this->leaving);
}

void replicated_log::handle(const quorum::message& message) {
    if (!this->suspended) {
        this->execute(this->replica->handle(message, this->params.time->now()));
        this->arm();
    }
}

void replicated_log::handle_connected(const instance_id& member) {
    if (!this->suspended) {
        this->execute(this->replica->handle_connected(member, this->params.time->now()));
    }
}

bool replicated_log::propose(const std::string& command) {
    if (this->suspended) {
        return false;
    }
    auto proposal = this->replica->propose(command, this->params.time->now());
    this->execute(proposal.resulting_actions);
    this->arm();
    return proposal.index.has_value();
}

void replicated_log::hand_over() {
    if (!this->suspended) {
        this->execute(this->replica->resign(this->params.time->now()));
        this->arm();
    }
}

void replicated_log::handle_timer() {
    if (!this->suspended) {
        this->execute(this->replica->handle_timer(this->params.time->now()));
        this->arm();
    }
}

void replicated_log::arm() {
    if (this->suspended) {
        return;
    }
    this->replica_timer.arm(this->replica->next_wakeup());
}

void replicated_log::log_change(const quorum::voters_changed& change) const {
    std::string voters;
    for (const quorum::member& voter : change.changed.voters) {
        voters += (voters.empty() ? "" : ",") + voter.id.value();
    }
    spdlog::info("voters changed index={} term={} reason={} voters={} joining={}",
                 change.index.value(), this->replica->term().value(), name_of(change.reason),
                 voters, change.changed.joining.value());
}

void replicated_log::log_bearable_losses() {
    const auto losses = this->replica->bearable_losses(this->params.time->now());
    if (losses == this->logged_losses) {
        return;
    }
    this->logged_losses = losses;
    if (losses) {
        spdlog::info("bearable losses changed losses={} voters={} standbys={} term={}", *losses,
                     this->replica->voters().voters.size(), this->replica->standby_count(),
                     this->replica->term().value());
    }
}

void replicated_log::execute(const quorum::actions& actions) {
    const auto persisted = value_or_error([&] { return this->persist(actions); });
    if (const auto* problem = std::get_if<error>(&persisted)) {
        this->suspend(*problem);
        return;
    }
    this->log_bearable_losses();
    if (!this->deferred.empty()) {
        this->flush_wakeup.arm_now();
    }
}

outcome<void> replicated_log::persist(const quorum::actions& actions) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
        if (const auto* snapshot = std::get_if<quorum::persist_snapshot>(&actions[i])) {
            // The next action holds the entries that remain in the log after the snapshot.
            BOOST_LEAF_CHECK(this->persist_snapshot(
                *snapshot, std::get<quorum::persist_entries>(actions.at(i + 1))));
            ++i;
        } else if (const auto* changed = std::get_if<quorum::persist_vote>(&actions[i])) {
            this->vote = *changed;
            BOOST_LEAF_CHECK(this->file->append(wire::encode_record(*changed)));
            this->needs_sync = true;
        } else if (const auto* entries = std::get_if<quorum::persist_entries>(&actions[i])) {
            BOOST_LEAF_CHECK(this->file->append(wire::encode_record(*entries)));
            this->needs_sync = true;
        } else if (const auto* voters = std::get_if<quorum::voters_changed>(&actions[i])) {
            this->log_change(*voters);
        } else if (const auto* lost = std::get_if<quorum::disk_lost>(&actions[i])) {
            spdlog::warn("disk counts as lost instance={} counted={} returned={} term={}",
                         lost->counted.id.value(), lost->counted.disk.value(),
                         lost->returned.disk.value(), this->replica->term().value());
        } else if (const auto* sent = std::get_if<quorum::snapshot_progress>(&actions[i])) {
            log_progress(*sent);
        } else if (std::holds_alternative<quorum::restore_state>(actions[i])) {
            // The state is read from the journal: there is no memory for the pieces beside it.
            this->deferred.emplace_back(quorum::restore_state{});
        } else {
            this->deferred.push_back(actions[i]);
        }
    }
    return {};
}

outcome<void> replicated_log::persist_snapshot(const quorum::persist_snapshot& snapshot,
                                               const quorum::persist_entries& entries) {
    const state_source state =
        snapshot.data != nullptr ? source_of(snapshot.data) : this->notify.save();
    std::vector<std::size_t> piece_bytes;
    std::size_t records_written = 0;
    bool has_entries = false;
    this->piece_positions.clear();
    // Takes effect if the rewrite fails, since the log is read again then.
    this->compact_after = this->params.time->now() + compaction_retry_interval;
    BOOST_LEAF_CHECK(this->file->rewrite([&](std::string& record) {
        std::string piece;
        if (records_written == 0) {
            record = wire::encode_record(wire::disk_identity{this->disk});
        } else if (records_written == 1) {
            record = wire::encode_record(this->vote);
        } else if (records_written == 2) {
            record = wire::encode_record(
                wire::snapshot_header{snapshot.index, snapshot.index_term, snapshot.voters});
        } else if (state(piece)) {
            piece_bytes.push_back(piece.size());
            record = wire::encode_record(wire::snapshot_piece{std::move(piece)});
            this->piece_positions.push_back(this->file->size());
        } else if (!has_entries) {
            has_entries = true;
            record = wire::encode_record(entries);
        } else {
            return false;
        }
        ++records_written;
        return true;
    }));
    this->compact_after = {};
    this->replica->set_snapshot_pieces(std::move(piece_bytes));
    this->snapshot_bytes = this->file->size();
    spdlog::info("snapshot persisted index={} bytes={}", snapshot.index.value(),
                 this->snapshot_bytes);
    return {};
}

outcome<std::string> replicated_log::read_piece(std::size_t position) const {
    BOOST_LEAF_AUTO(bytes, this->file->read(position));
    BOOST_LEAF_AUTO(record, wire::decode_record(bytes));
    return std::move(std::get<wire::snapshot_piece>(record).data);
}

outcome<void> replicated_log::restore() {
    this->notify.clear_state();
    for (const std::size_t position : this->piece_positions) {
        BOOST_LEAF_AUTO(piece, this->read_piece(position));
        BOOST_LEAF_CHECK(this->notify.load_piece(piece));
    }
    this->notify.restored();
    return {};
}

void replicated_log::flush() {
    if (this->suspended) {
        this->announce_suspension();
        return;
    }
    if (this->needs_sync) {
        const auto synced = value_or_error([&] { return this->file->sync(); });
        if (const auto* problem = std::get_if<error>(&synced)) {
            this->suspend(*problem);
            return;
        }
        this->needs_sync = false;
        ++this->syncs;
    }
    const quorum::actions ready = std::exchange(this->deferred, {});
    for (const quorum::action& action : ready) {
        if (const auto* outgoing = std::get_if<quorum::send_message>(&action)) {
            this->notify.send(outgoing->to, outgoing->content);
        } else if (const auto* committed = std::get_if<quorum::apply_command>(&action)) {
            this->notify.apply(committed->command);
        } else if (std::holds_alternative<quorum::restore_state>(action)) {
            const auto loaded = value_or_error([&] { return this->restore(); });
            if (const auto* problem = std::get_if<error>(&loaded)) {
                this->suspend({problem->code, "snapshot can't be read: " + problem->message});
                return;
            }
        } else if (const auto* leadership = std::get_if<quorum::leadership_changed>(&action)) {
            this->notify.leadership_changed(leadership->is_leader);
        } else if (const auto* piece = std::get_if<quorum::send_snapshot_piece>(&action)) {
            const auto sent_piece = value_or_error([&] { return this->send(*piece); });
            if (const auto* problem = std::get_if<error>(&sent_piece)) {
                this->suspend(*problem);
                return;
            }
        }
    }
    this->compact_if_large();
}

void replicated_log::compact_if_large() {
    // The snapshot covers all committed entries, so they must have been applied to the state.
    if (!this->suspended && this->deferred.empty() && this->file->size() > this->snapshot_bytes &&
        this->replica->is_compaction_due(this->file->size() - this->snapshot_bytes,
                                         this->snapshot_bytes) &&
        this->params.time->now() >= this->compact_after) {
        this->execute(this->replica->compact(this->replica->committed()));
    }
}

outcome<void> replicated_log::send(const quorum::send_snapshot_piece& action) {
    if (action.content.index != this->replica->compacted()) {
        // A newer snapshot has replaced this one; the replica sends the follower that one next.
        return {};
    }
    quorum::install_snapshot_request request = action.content;
    if (!this->piece_positions.empty()) {
        BOOST_LEAF_ASSIGN(request.data, this->read_piece(this->piece_positions.at(request.piece)));
    }
    this->notify.send(action.to, request);
    return {};
}

} // namespace kingcupcart::group
