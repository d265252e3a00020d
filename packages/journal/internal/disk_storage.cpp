#include "journal/disk_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace kingcupcart::journal {

namespace {

constexpr mode_t file_mode = 0600;

boost::leaf::error_id refuse(const std::string& path, const char* what) {
    return fail(error_code::input_output,
                path + ": cannot " + what + ": " + std::generic_category().message(errno));
}

/// Writes everything, also where the kernel takes it in parts.
bool write_whole(int file, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto size = ::write(file, bytes.data(), bytes.size());
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size < 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

} // namespace

outcome<std::unique_ptr<disk_storage>> disk_storage::open(const std::string& folder) {
    std::error_code problem;
    std::filesystem::create_directories(folder, problem);
    if (problem) {
        return fail(error_code::input_output, folder + ": cannot be made: " + problem.message());
    }
    const std::string lock_path = folder + "/lock";
    const int lock = ::open(lock_path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, file_mode);
    if (lock < 0) {
        return refuse(lock_path, "open");
    }
    if (flock(lock, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock);
        return fail(error_code::conflict, folder + ": another keeper uses this data folder");
    }
    return std::unique_ptr<disk_storage>(new disk_storage(folder, lock));
}

disk_storage::disk_storage(std::string folder, int lock) : folder(std::move(folder)), lock(lock) {}

disk_storage::~disk_storage() {
    if (this->file >= 0) {
        ::close(this->file);
    }
    ::close(this->lock);
}

outcome<std::string> disk_storage::read(std::size_t position, std::size_t size) {
    const int opened = ::open(this->path().c_str(), O_RDONLY | O_CLOEXEC);
    if (opened < 0 && errno == ENOENT) {
        return std::string();
    }
    if (opened < 0) {
        return refuse(this->path(), "open");
    }
    std::string bytes(size, '\0');
    std::size_t got = 0;
    ssize_t part = 1;
    while (got < size && part > 0) {
        part = pread(opened, bytes.data() + got, size - got, static_cast<off_t>(position + got));
        if (part < 0 && errno == EINTR) {
            part = 1;
            continue;
        }
        got += part > 0 ? static_cast<std::size_t>(part) : 0;
    }
    const int problem = errno;
    ::close(opened);
    if (part < 0) {
        errno = problem;
        return refuse(this->path(), "read");
    }
    bytes.resize(got);
    return bytes;
}

outcome<void> disk_storage::open_file() {
    if (this->file >= 0) {
        return {};
    }
    this->file = ::open(this->path().c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, file_mode);
    if (this->file < 0) {
        return refuse(this->path(), "open");
    }
    return this->sync_folder();
}

outcome<void> disk_storage::append(std::string_view bytes) {
    BOOST_LEAF_CHECK(this->open_file());
    if (!write_whole(this->file, bytes)) {
        return refuse(this->path(), "write");
    }
    return {};
}

outcome<void> disk_storage::sync() {
    BOOST_LEAF_CHECK(this->open_file());
    if (fdatasync(this->file) != 0) {
        return refuse(this->path(), "sync");
    }
    return {};
}

outcome<void> disk_storage::replace(const source& next) {
    const std::string fresh = this->path() + ".new";
    const int made = ::open(fresh.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, file_mode);
    if (made < 0) {
        return refuse(fresh, "open");
    }
    bool is_kept = true;
    for (std::string part; is_kept && next(part);) {
        is_kept = write_whole(made, part);
    }
    is_kept = is_kept && fsync(made) == 0;
    ::close(made);
    if (!is_kept) {
        return refuse(fresh, "write");
    }
    if (::rename(fresh.c_str(), this->path().c_str()) != 0) {
        return refuse(fresh, "rename");
    }
    if (this->file >= 0) {
        ::close(this->file);
        this->file = -1;
    }
    return this->sync_folder();
}

outcome<void> disk_storage::truncate(std::size_t size) {
    BOOST_LEAF_CHECK(this->open_file());
    if (ftruncate(this->file, static_cast<off_t>(size)) != 0) {
        return refuse(this->path(), "cut");
    }
    return this->sync();
}

outcome<void> disk_storage::sync_folder() const {
    const int opened = ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool is_synced = opened >= 0 && fsync(opened) == 0;
    if (opened >= 0) {
        ::close(opened);
    }
    if (!is_synced) {
        return refuse(this->folder, "sync");
    }
    return {};
}

} // namespace kingcupcart::journal
