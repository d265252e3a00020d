#include "group/replicated_log.h"

#include "journal/disk_storage.h"
#include "wire/keeper_codec.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <type_traits>
#include <utility>
#include <variant>

namespace kingcupcart::group {

namespace {

/// A snapshot is made once the journal has outgrown the last one by so much, or by half of it where
/// that is more: the log since then is held in memory, and rewriting a large state often would
/// stall the group.
constexpr std::size_t snapshot_growth_bytes = 12UL * 1024 * 1024;
/// The disk of every founder that is told only the founders' names.
constexpr std::uint64_t founding_disk = 1;

state_source each_of(quorum::snapshot_pieces pieces) {
    return [pieces = std::move(pieces), next = std::size_t{0}](std::string& piece) mutable {
        if (next == pieces->size()) {
            return false;
        }
        piece = pieces->at(next++);
        return true;
    };
}

} // namespace

outcome<std::unique_ptr<replicated_log>> replicated_log::open(const parameters& arguments,
                                                              callbacks notify) {
    std::unique_ptr<replicated_log> made(new replicated_log(arguments, std::move(notify)));
    BOOST_LEAF_CHECK(made->load());
    return made;
}

replicated_log::replicated_log(const parameters& arguments, callbacks notify)
    : params(arguments),
      notify(std::move(notify)),
      timer([this] { this->handle_timer(); }),
      flusher([this] { this->flush(); }) {}

replicated_log::~replicated_log() = default;

outcome<void> replicated_log::load() {
    BOOST_LEAF_AUTO(storage, journal::disk_storage::open(this->params.folder));
    BOOST_LEAF_AUTO(
        opened, journal::journal_file::open(std::move(storage),
                                            [this](std::string_view record, std::size_t position) {
                                                return this->take(record, position);
                                            }));
    this->file = std::move(opened.file);
    if (opened.has_torn_tail) {
        spdlog::warn("journal: cut off a torn tail");
    }
    this->found_empty = opened.was_empty;
    if (this->found_empty) {
        BOOST_LEAF_CHECK(this->name_disk());
        BOOST_LEAF_CHECK(this->file->sync());
    }
    this->vote = quorum::persist_vote{this->stored.term, this->stored.voted_for};
    if (this->stored.snapshot_index > quorum::log_index(0)) {
        this->notify.restored();
    }
    const time_point now = this->params.time->now();
    quorum::replica_limits limits;
    limits.voters_wanted = this->params.voters_wanted;
    this->replica = std::make_unique<quorum::replica>(quorum::member{this->params.self, this->disk},
                                                      this->params.others, this->stored, limits,
                                                      this->params.seed, now);
    if (this->found_empty && this->params.may_bootstrap) {
        this->execute(this->replica->found(now));
    }
    this->arm();
    return {};
}

outcome<void> replicated_log::take(std::string_view bytes, std::size_t position) {
    BOOST_LEAF_AUTO(record, wire::decode_record(bytes));
    if (const auto* named = std::get_if<wire::disk_identity>(&record)) {
        this->disk = named->disk;
    } else if (const auto* vote = std::get_if<quorum::persist_vote>(&record)) {
        this->stored.term = vote->term;
        this->stored.voted_for = vote->voted_for;
    } else if (const auto* kept = std::get_if<quorum::persist_entries>(&record)) {
        auto& entries = this->stored.entries;
        entries.resize(kept->first.value() - this->stored.snapshot_index.value() - 1);
        entries.insert(entries.end(), kept->entries.begin(), kept->entries.end());
    } else if (const auto* snapshot = std::get_if<wire::snapshot_header>(&record)) {
        this->stored.snapshot_index = snapshot->index;
        this->stored.snapshot_term = snapshot->index_term;
        this->stored.snapshot_voters = snapshot->voters;
        this->stored.entries.clear();
        this->pieces.clear();
        this->notify.clear_state();
    } else {
        const auto& piece = std::get<wire::snapshot_piece>(record);
        this->snapshot_bytes += piece.data.size();
        this->pieces.push_back(position);
        BOOST_LEAF_CHECK(this->notify.load_piece(piece.data));
    }
    return {};
}

outcome<void> replicated_log::name_disk() {
    const auto& initial_members = this->params.initial_members;
    if (std::find(initial_members.begin(), initial_members.end(), this->params.self) !=
        initial_members.end()) {
        this->disk = quorum::disk_id(founding_disk);
    } else {
        std::random_device entropy;
        this->disk = quorum::disk_id((std::uint64_t{entropy()} << 32U) | entropy());
    }
    BOOST_LEAF_CHECK(this->file->append(wire::encode_record(wire::disk_identity{this->disk})));
    if (!initial_members.empty()) {
        wire::snapshot_header founding;
        for (const instance_id& founder : initial_members) {
            founding.voters.voters.push_back({founder, quorum::disk_id(founding_disk)});
        }
        this->stored.snapshot_voters = founding.voters;
        BOOST_LEAF_CHECK(this->file->append(wire::encode_record(founding)));
    }
    return {};
}

void replicated_log::adopt_initial_members(const std::vector<quorum::member>& initial_members) {
    if (!this->broken) {
        this->execute(
            this->replica->adopt({initial_members, instance_id()}, this->params.time->now()));
        this->arm();
    }
}

void replicated_log::set_others(std::vector<instance_id> others) {
    this->replica->set_others(std::move(others));
}

void replicated_log::set_leaving(std::set<instance_id> leaving) {
    this->replica->set_leaving(std::move(leaving));
}

void replicated_log::handle(const quorum::message& said) {
    if (!this->broken) {
        this->execute(this->replica->handle(said, this->params.time->now()));
        this->arm();
    }
}

bool replicated_log::propose(const std::string& command) {
    if (this->broken) {
        return false;
    }
    auto made = this->replica->propose(command, this->params.time->now());
    this->execute(made.wanted);
    this->arm();
    return made.index.has_value();
}

void replicated_log::handle_timer() {
    if (!this->broken) {
        this->execute(this->replica->handle_timer(this->params.time->now()));
        this->arm();
    }
}

void replicated_log::arm() {
    this->timer.arm(this->replica->next_wakeup());
}

void replicated_log::execute(const quorum::actions& wanted) {
    const auto kept = value_or_error([&] { return this->keep(wanted); });
    if (const auto* problem = std::get_if<error>(&kept)) {
        this->give_up(problem->message);
        return;
    }
    if (!this->deferred.empty()) {
        this->flusher.arm_now();
    }
}

outcome<void> replicated_log::keep(const quorum::actions& wanted) {
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        if (const auto* snapshot = std::get_if<quorum::persist_snapshot>(&wanted[i])) {
            // The replica says in the next action which entries remain.
            BOOST_LEAF_CHECK(this->persist_snapshot(
                *snapshot, std::get<quorum::persist_entries>(wanted.at(i + 1))));
            ++i;
        } else if (const auto* changed = std::get_if<quorum::persist_vote>(&wanted[i])) {
            this->vote = *changed;
            BOOST_LEAF_CHECK(this->file->append(wire::encode_record(*changed)));
            this->is_dirty = true;
        } else if (const auto* entries = std::get_if<quorum::persist_entries>(&wanted[i])) {
            BOOST_LEAF_CHECK(this->file->append(wire::encode_record(*entries)));
            this->is_dirty = true;
        } else {
            this->deferred.push_back(wanted[i]);
        }
    }
    return {};
}

outcome<void> replicated_log::persist_snapshot(const quorum::persist_snapshot& snapshot,
                                               const quorum::persist_entries& entries) {
    const state_source state =
        snapshot.data != nullptr ? each_of(snapshot.data) : this->notify.save();
    std::size_t head = 0;
    bool has_entries = false;
    this->pieces.clear();
    BOOST_LEAF_CHECK(this->file->rewrite([&](std::string& record) {
        std::string piece;
        if (head == 0) {
            record = wire::encode_record(wire::disk_identity{this->disk});
        } else if (head == 1) {
            record = wire::encode_record(this->vote);
        } else if (head == 2) {
            record = wire::encode_record(
                wire::snapshot_header{snapshot.index, snapshot.index_term, snapshot.voters});
        } else if (state(piece)) {
            record = wire::encode_record(wire::snapshot_piece{std::move(piece)});
            this->pieces.push_back(this->file->size());
        } else if (!has_entries) {
            has_entries = true;
            record = wire::encode_record(entries);
        } else {
            return false;
        }
        ++head;
        return true;
    }));
    this->snapshot_bytes = this->file->size();
    spdlog::info("snapshot kept index={} bytes={}", snapshot.index.value(), this->snapshot_bytes);
    return {};
}

outcome<void> replicated_log::restore(const quorum::restore_state& wanted) {
    this->notify.clear_state();
    for (const std::string& piece : *wanted.data) {
        BOOST_LEAF_CHECK(this->notify.load_piece(piece));
    }
    this->notify.restored();
    return {};
}

void replicated_log::flush() {
    if (this->broken) {
        return;
    }
    if (this->is_dirty) {
        const auto synced = value_or_error([&] { return this->file->sync(); });
        if (const auto* problem = std::get_if<error>(&synced)) {
            this->give_up(problem->message);
            return;
        }
        this->is_dirty = false;
        ++this->syncs;
    }
    const quorum::actions ready = std::exchange(this->deferred, {});
    for (const quorum::action& one : ready) {
        if (const auto* sent = std::get_if<quorum::send_message>(&one)) {
            this->notify.send(sent->to, sent->content);
        } else if (const auto* agreed = std::get_if<quorum::apply_command>(&one)) {
            this->notify.apply(agreed->command);
        } else if (const auto* restored = std::get_if<quorum::restore_state>(&one)) {
            const auto loaded = value_or_error([&] { return this->restore(*restored); });
            if (const auto* problem = std::get_if<error>(&loaded)) {
                this->give_up("snapshot can't be read: " + problem->message);
                return;
            }
        } else if (const auto* changed = std::get_if<quorum::leadership_changed>(&one)) {
            this->notify.leadership_changed(changed->is_leader);
        } else if (const auto* piece = std::get_if<quorum::send_piece>(&one)) {
            const auto sent_piece = value_or_error([&] { return this->send(*piece); });
            if (const auto* problem = std::get_if<error>(&sent_piece)) {
                this->give_up(problem->message);
                return;
            }
        }
    }
    this->compact_if_large();
}

void replicated_log::compact_if_large() {
    const std::size_t growth = std::max(snapshot_growth_bytes, this->snapshot_bytes / 2);
    // Whatever is committed must have been applied, or the snapshot would miss it.
    if (this->file->size() > this->snapshot_bytes + growth && this->deferred.empty()) {
        this->execute(this->replica->compact(this->replica->committed()));
    }
}

outcome<void> replicated_log::send(const quorum::send_piece& wanted) {
    if (wanted.content.index != this->replica->compacted()) {
        // A newer snapshot took its place; the follower is sent that one next.
        return {};
    }
    quorum::install_snapshot_request sent = wanted.content;
    sent.piece_count = this->pieces.size();
    if (!this->pieces.empty()) {
        // One that holds them all is sent the last one again, and answers that it has the state.
        sent.piece = std::min<std::uint64_t>(sent.piece, this->pieces.size() - 1);
        BOOST_LEAF_AUTO(bytes, this->file->read(this->pieces.at(sent.piece)));
        BOOST_LEAF_AUTO(record, wire::decode_record(bytes));
        sent.data = std::get<wire::snapshot_piece>(record).data;
    }
    this->notify.send(wanted.to, sent);
    return {};
}

void replicated_log::give_up(const std::string& reason) {
    this->broken = true;
    this->deferred.clear();
    this->timer.disarm();
    spdlog::critical("gives up until it is restarted: {}", reason);
}

} // namespace kingcupcart::group
