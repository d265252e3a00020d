#pragma once

#include "base/outcome.h"
#include "journal/storage.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::journal {

/// Records that survive a crash once they are synced. Each stands in a frame with checksums of its
/// length and of its content.
class journal_file {
public:
    /// What was found on opening.
    struct opened;

    /// A torn tail, that is an unsynced end of the file, is cut off. Anything else that is damaged
    /// is refused with `input_output`: a record in the middle must not be served, nor left out.
    static outcome<opened> open(std::unique_ptr<storage> on);

    /// Written, and lasting after `sync`.
    [[nodiscard]] outcome<void> append(const std::string& record);
    [[nodiscard]] outcome<void> sync();
    /// Replaces all records by these, at once.
    [[nodiscard]] outcome<void> rewrite(const std::vector<std::string>& records);
    [[nodiscard]] std::size_t size() const { return this->bytes; }

private:
    explicit journal_file(std::unique_ptr<storage> on) : on(std::move(on)) {}

    std::unique_ptr<storage> on;
    std::size_t bytes = 0;
};

struct journal_file::opened {
    std::unique_ptr<journal_file> file;
    std::vector<std::string> records;
    /// Bytes of the torn tail.
    std::size_t torn_bytes = 0;
};

} // namespace kingcupcart::journal
