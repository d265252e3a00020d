#pragma once

#include "base/outcome.h"
#include "journal/storage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupcart::journal {

/// Records that survive a crash once they are synced. Each stands in a frame with checksums of its
/// length and of its content.
class journal_file {
public:
    /// What was found on opening.
    struct opened;
    /// Takes a record that was found, in order, and where it stands; the text is borrowed for the
    /// call.
    using visitor = std::function<outcome<void>(std::string_view record, std::size_t position)>;

    /// A torn tail, that is an unsynced end of the file, is cut off. Anything else that is damaged
    /// is refused with `input_output`: a record in the middle must not be served, nor left out.
    ///
    /// The records are read one by one: a journal may be larger than what memory has left.
    static outcome<opened> open(std::unique_ptr<storage> on, const visitor& found);

    /// Written, and lasting after `sync`.
    [[nodiscard]] outcome<void> append(const std::string& record);
    [[nodiscard]] outcome<void> sync();
    /// Replaces all records by these, at once; they are taken one by one.
    [[nodiscard]] outcome<void> rewrite(const storage::source& next);
    /// In bytes; also where the next record will stand, within a rewrite too.
    [[nodiscard]] std::size_t size() const { return this->bytes; }
    /// The record at that position; fails with `input_output` where none stands there whole.
    [[nodiscard]] outcome<std::string> read(std::size_t position) const;

private:
    explicit journal_file(std::unique_ptr<storage> on) : on(std::move(on)) {}

    std::unique_ptr<storage> on;
    std::size_t bytes = 0;
};

struct journal_file::opened {
    std::unique_ptr<journal_file> file;
    /// The journal held no record.
    bool was_empty = true;
    /// An unsynced end of the file was cut off.
    bool has_torn_tail = false;
};

} // namespace kingcupcart::journal
