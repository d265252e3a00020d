#include "journal/disk_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace kingcupcart::journal {

namespace {

constexpr mode_t file_mode = 0600;
/// Bytes that `check_writable` appends at least: more than what is free in the last block of the
/// file on common file systems.
constexpr std::size_t min_probe_bytes = 4096;
/// Bytes that `check_writable` appends in one call.
constexpr std::size_t probe_chunk_bytes = 1UL << 20;

/// The error of the system call that failed last. No error number is taken as proof of damage: a
/// disk that is full, over its quota or its size limit, or mounted read-only may accept the same
/// call later.
boost::leaf::error_id io_error(const std::string& path, const char* operation) {
    const int problem = errno;
    return fail(error_code::storage_unavailable,
                path + ": cannot " + operation + ": " + std::generic_category().message(problem));
}

/// Writes all bytes, with further calls after a partial write.
bool write_all(int file, std::string_view bytes) {
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

bool append_zeros(int file, std::size_t size) {
    const std::string chunk(std::min(size, probe_chunk_bytes), '\0');
    while (size > 0) {
        const std::string_view next = std::string_view(chunk).substr(0, size);
        if (!write_all(file, next)) {
            return false;
        }
        size -= next.size();
    }
    return true;
}

} // namespace

outcome<std::unique_ptr<disk_storage>> disk_storage::open(const std::string& folder) {
    std::error_code problem;
    std::filesystem::create_directories(folder, problem);
    if (problem) {
        return fail(error_code::storage_unavailable,
                    folder + ": cannot be created: " + problem.message());
    }
    const std::string lock_path = folder + "/lock";
    const int lock = ::open(lock_path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, file_mode);
    if (lock < 0) {
        return io_error(lock_path, "open");
    }
    if (flock(lock, LOCK_EX | LOCK_NB) != 0) {
        const int lock_problem = errno;
        ::close(lock);
        if (lock_problem == EWOULDBLOCK) {
            return fail(error_code::conflict, folder + ": another process uses this data folder");
        }
        errno = lock_problem;
        return io_error(lock_path, "lock");
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
    const int descriptor = ::open(this->path().c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0 && errno == ENOENT) {
        return std::string();
    }
    if (descriptor < 0) {
        return io_error(this->path(), "open");
    }
    std::string bytes(size, '\0');
    std::size_t bytes_read = 0;
    ssize_t chunk = 1;
    while (bytes_read < size && chunk > 0) {
        chunk = pread(descriptor, bytes.data() + bytes_read, size - bytes_read,
                      static_cast<off_t>(position + bytes_read));
        if (chunk < 0 && errno == EINTR) {
            chunk = 1;
            continue;
        }
        bytes_read += chunk > 0 ? static_cast<std::size_t>(chunk) : 0;
    }
    const int problem = errno;
    ::close(descriptor);
    if (chunk < 0) {
        errno = problem;
        return io_error(this->path(), "read");
    }
    bytes.resize(bytes_read);
    return bytes;
}

outcome<void> disk_storage::open_file() {
    if (this->file >= 0) {
        return {};
    }
    this->file = ::open(this->path().c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, file_mode);
    if (this->file < 0) {
        return io_error(this->path(), "open");
    }
    return this->sync_folder();
}

outcome<void> disk_storage::append(std::string_view bytes) {
    BOOST_LEAF_CHECK(this->open_file());
    if (!write_all(this->file, bytes)) {
        return io_error(this->path(), "write");
    }
    return {};
}

outcome<void> disk_storage::sync() {
    BOOST_LEAF_CHECK(this->open_file());
    if (fdatasync(this->file) != 0) {
        return io_error(this->path(), "sync");
    }
    return {};
}

outcome<void> disk_storage::replace(const source& next_chunk) {
    const std::string new_path = this->path() + ".new";
    const int new_file =
        ::open(new_path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, file_mode);
    if (new_file < 0) {
        return io_error(new_path, "open");
    }
    bool is_written = true;
    for (std::string chunk; is_written && next_chunk(chunk);) {
        is_written = write_all(new_file, chunk);
    }
    is_written = is_written && fsync(new_file) == 0;
    const int problem = errno;
    ::close(new_file);
    if (!is_written) {
        // Frees the space of what was written.
        ::unlink(new_path.c_str());
        errno = problem;
        return io_error(new_path, "write");
    }
    if (::rename(new_path.c_str(), this->path().c_str()) != 0) {
        const int rename_problem = errno;
        ::unlink(new_path.c_str());
        errno = rename_problem;
        return io_error(new_path, "rename");
    }
    if (this->file >= 0) {
        ::close(this->file);
        this->file = -1;
    }
    return this->sync_folder();
}

outcome<void> disk_storage::check_writable(std::size_t size) {
    BOOST_LEAF_CHECK(this->open_file());
    const off_t end = lseek(this->file, 0, SEEK_END);
    if (end < 0) {
        return io_error(this->path(), "seek");
    }
    const bool is_written =
        append_zeros(this->file, std::max(size, min_probe_bytes)) && fdatasync(this->file) == 0;
    const int problem = errno;
    // Zeros that remain, because this fails too, are a torn tail to the reader of the journal.
    const bool is_truncated = ftruncate(this->file, end) == 0;
    if (!is_written) {
        errno = problem;
        return io_error(this->path(), "write");
    }
    if (!is_truncated) {
        return io_error(this->path(), "truncate");
    }
    return this->sync();
}

outcome<void> disk_storage::truncate(std::size_t size) {
    BOOST_LEAF_CHECK(this->open_file());
    if (ftruncate(this->file, static_cast<off_t>(size)) != 0) {
        return io_error(this->path(), "truncate");
    }
    return this->sync();
}

outcome<void> disk_storage::sync_folder() const {
    const int descriptor = ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool is_synced = descriptor >= 0 && fsync(descriptor) == 0;
    const int problem = errno;
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    if (!is_synced) {
        errno = problem;
        return io_error(this->folder, "sync");
    }
    return {};
}

} // namespace kingcupcart::journal
