#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "journal/journal_file.h"
#include "quorum/actions.h"
#include "quorum/messages.h"
#include "quorum/replica.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::keeper {

/// The replicated log of one keeper with its journal: it keeps what the replica wants kept, syncs
/// once for all that came within one turn of the loop, and only then sends and applies.
class keeper_log {
public:
    struct parts {
        instance_id self;
        std::vector<instance_id> others;
        std::string folder;
        /// Begin a new deployment where the data folder is empty.
        bool may_found = false;
        std::uint64_t seed = 0;
        const clock* time = nullptr;
    };
    struct callbacks {
        std::function<void(const instance_id& to, const quorum::message& said)> send;
        std::function<void(const std::string& command)> apply;
        std::function<void(const std::string& state)> restore;
        std::function<void(bool is_leader)> leadership_changed;
        /// The state to keep as a snapshot.
        std::function<std::string()> save;
    };

    /// Fails where the data folder can't be used or its journal is damaged.
    static outcome<std::unique_ptr<keeper_log>> open(const parts& made_of, callbacks tell);
    ~keeper_log();
    keeper_log(const keeper_log&) = delete;
    keeper_log& operator=(const keeper_log&) = delete;

    void handle(const quorum::message& said);
    /// False where this keeper does not lead, or can't keep anything any more.
    bool propose(const std::string& command);

    [[nodiscard]] const quorum::replica& state() const { return *this->replica; }
    /// The disk failed; this keeper says nothing more until it is restarted.
    [[nodiscard]] bool is_broken() const { return this->broken; }
    [[nodiscard]] std::size_t journal_bytes() const { return this->file->size(); }
    [[nodiscard]] std::uint64_t sync_count() const { return this->syncs; }

private:
    keeper_log(const parts& made_of, callbacks tell);
    outcome<void> load();
    void carry_out(const quorum::actions& wanted);
    [[nodiscard]] outcome<void> keep(const quorum::actions& wanted);
    [[nodiscard]] outcome<void> keep_snapshot(const quorum::keep_snapshot& snapshot,
                                              const quorum::keep_entries& entries);
    void pass_time();
    void flush();
    void compact_if_long();
    void arm();
    void give_up(const std::string& reason);

    parts own;
    callbacks tell;
    std::unique_ptr<journal::journal_file> file;
    std::unique_ptr<quorum::replica> replica;
    quorum::disk_id disk;
    quorum::keep_vote vote;
    quorum::stored_state stored;
    bool is_dirty = false;
    bool broken = false;
    std::uint64_t syncs = 0;
    /// Sends and applications that wait for the sync.
    quorum::actions deferred;
    task::wakeup timer;
    task::wakeup flusher;
};

} // namespace kingcupcart::keeper
