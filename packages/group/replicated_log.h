#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "group/state_source.h"
#include "journal/journal_file.h"
#include "quorum/actions.h"
#include "quorum/messages.h"
#include "quorum/replica.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::group {

/// The replicated log of one group member with its journal: it keeps what the replica wants kept,
/// syncs once for all that came within one turn of the loop, and only then sends and applies.
class replicated_log {
public:
    struct parameters {
        instance_id self;
        std::vector<instance_id> others;
        std::string folder;
        /// Begin a new deployment alone where the data folder is empty.
        bool may_bootstrap = false;
        /// Members that begin the group together, all told the same; they are believed where the
        /// data folder is empty. Their disks are named alike, since nobody knows them yet.
        std::vector<instance_id> initial_members;
        /// See `quorum::replica_limits::voters_wanted`.
        std::size_t voters_wanted = 0;
        std::uint64_t seed = 0;
        const clock* time = nullptr;
    };
    struct callbacks {
        std::function<void(const instance_id& to, const quorum::message& said)> send;
        std::function<void(const std::string& command)> apply;
        /// A saved state follows, piece by piece; then it is whole.
        std::function<void()> clear_state;
        std::function<outcome<void>(std::string_view piece)> load_piece;
        std::function<void()> restored;
        std::function<void(bool is_leader)> leadership_changed;
        /// The state as it is applied.
        std::function<state_source()> save;
    };

    /// Fails where the data folder can't be used or its journal is damaged.
    static outcome<std::unique_ptr<replicated_log>> open(const parameters& arguments,
                                                         callbacks notify);
    ~replicated_log();
    replicated_log(const replicated_log&) = delete;
    replicated_log& operator=(const replicated_log&) = delete;

    void handle(const quorum::message& said);
    /// Takes over the founders where the log is empty and no voter is known; they name their disks.
    void adopt_initial_members(const std::vector<quorum::member>& initial_members);
    void set_others(std::vector<instance_id> others);
    void set_leaving(std::set<instance_id> leaving);
    /// False where this keeper does not lead, or can't keep anything any more.
    bool propose(const std::string& command);

    [[nodiscard]] quorum::disk_id disk_name() const { return this->disk; }
    /// The data folder held nothing when it was opened.
    [[nodiscard]] bool was_empty() const { return this->found_empty; }
    [[nodiscard]] const quorum::replica& state() const { return *this->replica; }
    /// The disk failed; this keeper says nothing more until it is restarted.
    [[nodiscard]] bool is_broken() const { return this->broken; }
    [[nodiscard]] std::size_t journal_bytes() const { return this->file->size(); }
    [[nodiscard]] std::uint64_t sync_count() const { return this->syncs; }

private:
    replicated_log(const parameters& arguments, callbacks notify);
    outcome<void> load();
    [[nodiscard]] outcome<void> name_disk();
    void execute(const quorum::actions& wanted);
    [[nodiscard]] outcome<void> keep(const quorum::actions& wanted);
    [[nodiscard]] outcome<void> persist_snapshot(const quorum::persist_snapshot& snapshot,
                                                 const quorum::persist_entries& entries);
    void handle_timer();
    void flush();
    void compact_if_large();
    [[nodiscard]] outcome<void> take(std::string_view record, std::size_t position);
    [[nodiscard]] outcome<void> restore(const quorum::restore_state& wanted);
    [[nodiscard]] outcome<void> send(const quorum::send_piece& wanted);
    void arm();
    void give_up(const std::string& reason);

    parameters params;
    callbacks notify;
    std::unique_ptr<journal::journal_file> file;
    std::unique_ptr<quorum::replica> replica;
    quorum::disk_id disk;
    quorum::persist_vote vote;
    quorum::stored_state stored;
    bool found_empty = false;
    /// Size of the journal right after the newest snapshot, in bytes.
    std::size_t snapshot_bytes = 0;
    /// Where the pieces of the newest snapshot stand in the journal.
    std::vector<std::size_t> pieces;
    bool is_dirty = false;
    bool broken = false;
    std::uint64_t syncs = 0;
    /// Sends and applications that wait for the sync.
    quorum::actions deferred;
    task::wakeup timer;
    task::wakeup flusher;
};

} // namespace kingcupcart::group
