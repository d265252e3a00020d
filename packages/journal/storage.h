#pragma once

#include "base/outcome.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace kingcupcart::journal {

/// The one file of a journal, as far as a journal needs it.
class storage {
public:
    virtual ~storage() = default;
    storage() = default;
    storage(const storage&) = delete;
    storage& operator=(const storage&) = delete;

    /// The next part of some content, in order; false once there is none.
    using source = std::function<bool(std::string& part)>;

    /// Up to `size` bytes from `position` on; fewer at the end of the file, none where there is no
    /// file yet.
    [[nodiscard]] virtual outcome<std::string> read(std::size_t position, std::size_t size) = 0;
    /// What is appended lasts only once it is synced.
    [[nodiscard]] virtual outcome<void> append(std::string_view bytes) = 0;
    [[nodiscard]] virtual outcome<void> sync() = 0;
    /// Replaces the content as a whole: after a crash the file holds either the old or the new.
    [[nodiscard]] virtual outcome<void> replace(const source& next) = 0;
    /// Drops what stands after `size` bytes, and syncs.
    [[nodiscard]] virtual outcome<void> truncate(std::size_t size) = 0;
};

} // namespace kingcupcart::journal
