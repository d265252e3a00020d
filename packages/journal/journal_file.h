#pragma once

#include "base/outcome.h"
#include "journal/storage.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupcart::journal {

/// An append-only file of records, which survive a crash once they are synced. Each record is
/// framed with checksums of its length and of its content. A sync mark follows each synced batch of
/// records: it proves that all bytes before it were synced.
class journal_file {
public:
    struct open_result;
    /// Called with each record, in order, and its position in bytes. The text is valid only during
    /// the call.
    using visitor = std::function<outcome<void>(std::string_view record, std::size_t position)>;

    /// Truncates a torn tail, that is an unsynced end of the file. After a loss of power any of its
    /// writes may be missing, so intact records may follow a gap in it. Fails with `input_output`
    /// on damage to what was synced, since a damaged record must neither be returned nor skipped,
    /// with `invalid_input` on another file format, and with `storage_unavailable` if the storage
    /// takes no writes. The records that were read are synced when this returns.
    ///
    /// Bytes from `size_limit` on are truncated unread. A process that reopens its journal after an
    /// error passes `synced_size()`: what the page cache holds beyond it may never reach the disk.
    ///
    /// Reads the records one by one, since a journal may be larger than the free memory.
    static outcome<open_result> open(std::unique_ptr<storage> backing_storage, const visitor& visit,
                                     std::size_t size_limit = unlimited_size);

    static constexpr std::size_t unlimited_size = std::numeric_limits<std::size_t>::max();

    /// Writes a record, which survives a crash only after `sync`. After an error of this, `sync`
    /// or `rewrite` the file has to be opened anew.
    [[nodiscard]] outcome<void> append(const std::string& record);
    [[nodiscard]] outcome<void> sync();
    /// Replaces all records atomically by those that `next_record` returns, one by one.
    [[nodiscard]] outcome<void> rewrite(const storage::source& next_record);
    /// The size, in bytes, up to which the file is synced. `unlimited_size` after a failed rewrite,
    /// which leaves either the old file or a new one that is synced as a whole.
    [[nodiscard]] std::size_t synced_size() const { return this->synced_bytes; }
    /// Bytes appended since the last sync, with a record whose append failed. None during a
    /// rewrite.
    [[nodiscard]] std::size_t unsynced_bytes() const {
        return this->bytes - std::min(this->bytes, this->synced_bytes);
    }
    /// The size in bytes, which is also the position of the next record; during a rewrite, that of
    /// the new file.
    [[nodiscard]] std::size_t size() const { return this->bytes; }
    /// Reads the record at `position`; fails with `input_output` if no intact record begins there.
    [[nodiscard]] outcome<std::string> read(std::size_t position) const;

private:
    explicit journal_file(std::unique_ptr<storage> backing_storage)
        : backing_storage(std::move(backing_storage)) {}

    /// Syncs the records that were read, and truncates what follows them in the file.
    [[nodiscard]] outcome<void> settle(bool has_tail);
    [[nodiscard]] outcome<void> append_sync_mark();

    std::unique_ptr<storage> backing_storage;
    std::size_t bytes = 0;
    std::size_t synced_bytes = 0;
    /// Whether the format of the file has sync marks.
    bool has_sync_marks = true;
};

struct journal_file::open_result {
    std::unique_ptr<journal_file> file;
    /// Whether the journal held no record.
    bool was_empty = true;
    /// Whether an unsynced end of the file was truncated.
    bool has_torn_tail = false;
};

} // namespace kingcupcart::journal
