#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "group/state_source.h"
#include "journal/journal_file.h"
#include "journal/storage.h"
#include "quorum/actions.h"
#include "quorum/member.h"
#include "quorum/messages.h"
#include "quorum/replica.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::group {

/// The replicated log of one group member with its journal. Executes the replica's actions:
/// appends to the journal, syncs it once per event loop iteration, and only then sends messages and
/// applies commands.
///
/// After a failed write or sync it resigns, and neither sends nor applies anything. Once the disk
/// takes writes again it reads the journal as at a start, cut to what was synced, and takes part
/// again.
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
        /// Opens the storage of the journal; by default, the file in `folder`.
        std::function<outcome<std::unique_ptr<journal::storage>>()> open_storage;
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
        /// A write or sync has failed. What was proposed here and is not applied has an unknown
        /// outcome.
        std::function<void()> suspended;
        /// The journal was read again. Commands that were applied before are applied again.
        std::function<void()> resumed;
    };

    /// Fails where the data folder can't be used or its journal is corrupt. Where its disk takes no
    /// writes, the log is opened suspended.
    static outcome<std::unique_ptr<replicated_log>> open(const parameters& arguments,
                                                         callbacks notify);
    ~replicated_log();
    replicated_log(const replicated_log&) = delete;
    replicated_log& operator=(const replicated_log&) = delete;

    void handle(const quorum::message& message);
    /// Messages to the member can be sent from now on.
    void handle_connected(const instance_id& member);
    /// Uses these members, with their disk identities, as the group's voters if the log is empty
    /// and no voter is known.
    void adopt_initial_members(const std::vector<quorum::member>& initial_members);
    /// Sets the members to which this one sends join requests while it is not a voter.
    void set_peers(std::vector<instance_id> peers);
    /// Sets the members that are to be replaced as voters although they are running.
    void set_leaving(std::set<instance_id> leaving);
    /// Returns false where this member does not lead or its log is suspended.
    bool propose(const std::string& command);

    /// Gives up leadership in favour of the voter with the longest log.
    void hand_over();

    [[nodiscard]] quorum::disk_id local_disk() const { return this->disk; }
    /// Whether the data folder was empty when it was opened.
    [[nodiscard]] bool was_empty() const { return this->folder_was_empty; }
    [[nodiscard]] const quorum::replica& state() const { return *this->replica; }
    /// Whether a write or sync has failed and the journal is not open again yet.
    [[nodiscard]] bool is_suspended() const { return this->suspended; }
    [[nodiscard]] std::uint64_t suspension_count() const { return this->suspensions; }
    [[nodiscard]] std::size_t journal_bytes() const { return this->file ? this->file->size() : 0; }
    [[nodiscard]] std::uint64_t sync_count() const { return this->syncs; }

private:
    replicated_log(const parameters& arguments, callbacks notify);
    outcome<void> load();
    [[nodiscard]] outcome<std::unique_ptr<journal::storage>> open_storage() const;
    [[nodiscard]] outcome<void> open_journal(std::unique_ptr<journal::storage> storage);
    [[nodiscard]] outcome<void> initialize_journal();
    void start_replica();
    void execute(const quorum::actions& actions);
    [[nodiscard]] outcome<void> persist(const quorum::actions& actions);
    [[nodiscard]] outcome<void> persist_snapshot(const quorum::persist_snapshot& snapshot,
                                                 const quorum::persist_entries& entries);
    void handle_timer();
    void flush();
    void compact_if_large();
    [[nodiscard]] outcome<void> load_record(std::string_view record, std::size_t position);
    /// Replaces the state by that of the newest snapshot in the journal.
    [[nodiscard]] outcome<void> restore();
    [[nodiscard]] outcome<std::string> read_piece(std::size_t position) const;
    [[nodiscard]] outcome<void> send(const quorum::send_snapshot_piece& action);
    void log_change(const quorum::voters_changed& change) const;
    void log_bearable_losses();
    void arm();
    /// Notifications follow in the next event loop iteration, since the caller may be in the middle
    /// of a change.
    void suspend(const error& reason);
    void announce_suspension();
    void try_to_resume();
    [[nodiscard]] outcome<void> resume();
    /// After an error while the journal was read: what was read up to it is no state that the group
    /// ever had.
    void discard_partial_state();

    parameters params;
    callbacks notify;
    std::unique_ptr<journal::journal_file> file;
    std::unique_ptr<quorum::replica> replica;
    quorum::disk_id disk;
    quorum::persist_vote vote;
    /// What is read from the journal, until the replica is started with it.
    quorum::stored_state stored;
    bool folder_was_empty = false;
    /// Size of the journal just after the newest snapshot was written, in bytes.
    std::size_t snapshot_bytes = 0;
    /// Journal positions of the pieces of the newest snapshot.
    std::vector<std::size_t> piece_positions;
    bool needs_sync = false;
    bool suspended = false;
    /// Whether `announce_suspension` is still to be called.
    bool has_unannounced_suspension = false;
    std::uint64_t suspensions = 0;
    duration resume_delay{};
    /// When the log last ceased to be suspended.
    std::optional<time_point> resumed_at;
    /// What the disk has to take before the log is read again: the bytes that it refused.
    std::size_t refused_bytes = 0;
    /// The last error that kept the log suspended, which is logged once.
    std::string last_problem;
    /// The journal is read up to this size: beyond it the page cache may differ from the disk.
    std::size_t trusted_size = journal::journal_file::unlimited_size;
    /// No snapshot is attempted before, after the disk had no room for one.
    time_point compact_after{};
    std::uint64_t syncs = 0;
    std::optional<int> logged_losses;
    std::vector<quorum::member> adopted_members;
    std::set<instance_id> leaving;
    /// Actions that are executed after the next sync: messages to send and commands to apply.
    quorum::actions deferred;
    task::wakeup replica_timer;
    task::wakeup flush_wakeup;
    task::wakeup resume_timer;
};

} // namespace kingcupcart::group
