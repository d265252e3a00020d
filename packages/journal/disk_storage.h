#pragma once

#include "journal/storage.h"

#include <memory>
#include <string>

namespace kingcupcart::journal {

/// The file `journal` in a data folder. The folder is created if it does not exist, and locked
/// while this object exists.
class disk_storage final : public storage {
public:
    /// Fails with `conflict` if another process has locked the folder, and with
    /// `storage_unavailable` if it cannot be created or opened.
    static outcome<std::unique_ptr<disk_storage>> open(const std::string& folder);
    ~disk_storage() override;
    disk_storage(const disk_storage&) = delete;
    disk_storage& operator=(const disk_storage&) = delete;

    outcome<std::string> read(std::size_t position, std::size_t size) override;
    outcome<void> append(std::string_view bytes) override;
    outcome<void> sync() override;
    outcome<void> replace(const source& next_chunk) override;
    outcome<void> check_writable(std::size_t size) override;
    outcome<void> truncate(std::size_t size) override;

private:
    disk_storage(std::string folder, int lock);
    [[nodiscard]] std::string path() const { return this->folder + "/journal"; }
    outcome<void> open_file();
    outcome<void> sync_folder() const;

    std::string folder;
    int lock = -1;
    int file = -1;
};

} // namespace kingcupcart::journal
