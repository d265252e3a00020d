#pragma once

#include "base/outcome.h"
#include "journal/storage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupcart::journal {

/// An append-only file of records, which survive a crash once they are synced. Each record is
/// framed with checksums of its length and of its content.
class journal_file {
public:
    struct open_result;
    /// Called with each record, in order, and its position in bytes. The text is valid only during
    /// the call.
    using visitor = std::function<outcome<void>(std::string_view record, std::size_t position)>;

    /// Truncates a torn tail, that is an unsynced end of the file. Fails with `input_output` on any
    /// other damage, since a damaged record must neither be returned nor skipped, and with
    /// `invalid_input` on another file format.
    ///
    /// Reads the records one by one, since a journal may be larger than the free memory.
    static outcome<open_result> open(std::unique_ptr<storage> backing_storage,
                                     const visitor& visit);

    /// Writes a record, which survives a crash only after `sync`.
    [[nodiscard]] outcome<void> append(const std::string& record);
    [[nodiscard]] outcome<void> sync();
    /// Replaces all records atomically by those that `next_record` returns, one by one.
    [[nodiscard]] outcome<void> rewrite(const storage::source& next_record);
    /// The size in bytes, which is also the position of the next record; during a rewrite, that of
    /// the new file.
    [[nodiscard]] std::size_t size() const { return this->bytes; }
    /// Reads the record at `position`; fails with `input_output` if no intact record begins there.
    [[nodiscard]] outcome<std::string> read(std::size_t position) const;

private:
    explicit journal_file(std::unique_ptr<storage> backing_storage)
        : backing_storage(std::move(backing_storage)) {}

    std::unique_ptr<storage> backing_storage;
    std::size_t bytes = 0;
};

struct journal_file::open_result {
    std::unique_ptr<journal_file> file;
    /// Whether the journal held no record.
    bool was_empty = true;
    /// Whether an unsynced end of the file was truncated.
    bool has_torn_tail = false;
};

} // namespace kingcupcart::journal
