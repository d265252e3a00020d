#pragma once

#include "base/outcome.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace kingcupcart::journal {

/// The file operations that a journal needs. An operation that the system refuses, for whatever
/// reason, fails with `storage_unavailable`: it may succeed later.
class storage {
public:
    virtual ~storage() = default;
    storage() = default;
    storage(const storage&) = delete;
    storage& operator=(const storage&) = delete;

    /// Sets `chunk` to the next chunk of the content, in order; returns false at the end.
    using source = std::function<bool(std::string& chunk)>;

    /// Reads up to `size` bytes from `position` on: fewer at the end of the file, none if there is
    /// no file yet.
    [[nodiscard]] virtual outcome<std::string> read(std::size_t position, std::size_t size) = 0;
    /// Appended bytes survive a crash only after `sync`.
    [[nodiscard]] virtual outcome<void> append(std::string_view bytes) = 0;
    [[nodiscard]] virtual outcome<void> sync() = 0;
    /// Replaces the whole content atomically: after a crash the file holds either the old content
    /// or the new.
    [[nodiscard]] virtual outcome<void> replace(const source& next_chunk) = 0;
    /// Appends at least `size` zero bytes to the file, syncs and removes them, to find out whether
    /// it takes appends of this size. After an error some of them may remain.
    [[nodiscard]] virtual outcome<void> check_writable(std::size_t size) = 0;
    /// Truncates the file to `size` bytes and syncs it.
    [[nodiscard]] virtual outcome<void> truncate(std::size_t size) = 0;
};

} // namespace kingcupcart::journal
