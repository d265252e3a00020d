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

/// The replicated log of one group member with its journal. Executes the replica's actions:
/// appends to the journal, syncs it once per event loop iteration, and only then sends messages and
/// applies commands.
class replicated_log {
public:
    struct parameters {
        instance_id local_id;
        /// The other members, as for `set_peers`.
        std::vector<instance_id> peers;
        /// The data folder, which holds the journal.
        std::string folder;
        /// Whether this member bootstraps a new group as its only voter if the data folder is
        /// empty.
        bool may_bootstrap = false;
        /// Members that bootstrap the group together; each has to be configured with the same list.
        /// Used only if the data folder is empty. They share one disk identity, since none of them
        /// knows the others' disks yet.
        std::vector<instance_id> initial_members;
        /// See `quorum::replica_limits::desired_voters`.
        std::size_t desired_voters = 0;
        std::uint64_t seed = 0;
        const clock* time = nullptr;
    };
    struct callbacks {
        std::function<void(const instance_id& to, const quorum::message& message)> send;
        std::function<void(const std::string& command)> apply;
        /// Resets the state. Calls of `load_piece` with each piece of a snapshot follow, then
        /// `restored`.
        std::function<void()> clear_state;
        std::function<outcome<void>(std::string_view piece)> load_piece;
        std::function<void()> restored;
        std::function<void(bool is_leader)> leadership_changed;
        /// Returns the pieces of the state, with all commands applied so far.
        std::function<state_source()> save;
    };

    /// Fails where the data folder can't be used or its journal is corrupt.
    static outcome<std::unique_ptr<replicated_log>> open(const parameters& arguments,
                                                         callbacks notify);
    ~replicated_log();
    replicated_log(const replicated_log&) = delete;
    replicated_log& operator=(const replicated_log&) = delete;

    void handle(const quorum::message& message);
    /// Uses these members, with their disk identities, as the group's voters if the log is empty
    /// and no voter is known.
    void adopt_initial_members(const std::vector<quorum::member>& initial_members);
    /// Sets the members to which this one sends join requests while it is not a voter.
    void set_peers(std::vector<instance_id> peers);
    /// Sets the members that are to be replaced as voters although they are running.
    void set_leaving(std::set<instance_id> leaving);
    /// Returns false where this member does not lead or its log has failed.
    bool propose(const std::string& command);

    [[nodiscard]] quorum::disk_id local_disk() const { return this->disk; }
    /// Whether the data folder was empty when it was opened.
    [[nodiscard]] bool was_empty() const { return this->folder_was_empty; }
    [[nodiscard]] const quorum::replica& state() const { return *this->replica; }
    /// Whether the log has failed, for instance by a disk error. This member then sends nothing
    /// until its process is restarted.
    [[nodiscard]] bool has_failed() const { return this->failed; }
    [[nodiscard]] std::size_t journal_bytes() const { return this->file->size(); }
    [[nodiscard]] std::uint64_t sync_count() const { return this->syncs; }

private:
    replicated_log(const parameters& arguments, callbacks notify);
    outcome<void> load();
    [[nodiscard]] outcome<void> initialize_journal();
    void execute(const quorum::actions& actions);
    [[nodiscard]] outcome<void> persist(const quorum::actions& actions);
    [[nodiscard]] outcome<void> persist_snapshot(const quorum::persist_snapshot& snapshot,
                                                 const quorum::persist_entries& entries);
    void handle_timer();
    void flush();
    void compact_if_large();
    [[nodiscard]] outcome<void> load_record(std::string_view record, std::size_t position);
    [[nodiscard]] outcome<void> restore(const quorum::restore_state& action);
    [[nodiscard]] outcome<void> send(const quorum::send_snapshot_piece& action);
    void arm();
    void fail_permanently(const std::string& reason);

    parameters params;
    callbacks notify;
    std::unique_ptr<journal::journal_file> file;
    std::unique_ptr<quorum::replica> replica;
    quorum::disk_id disk;
    quorum::persist_vote vote;
    quorum::stored_state stored;
    bool folder_was_empty = false;
    /// Size of the journal just after the newest snapshot was written, in bytes.
    std::size_t snapshot_bytes = 0;
    /// Journal positions of the pieces of the newest snapshot.
    std::vector<std::size_t> piece_positions;
    bool needs_sync = false;
    bool failed = false;
    std::uint64_t syncs = 0;
    /// Actions that are executed after the next sync: messages to send and commands to apply.
    quorum::actions deferred;
    task::wakeup replica_timer;
    task::wakeup flush_wakeup;
};

} // namespace kingcupcart::group
