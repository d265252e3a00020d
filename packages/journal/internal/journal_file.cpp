#include "journal/journal_file.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string_view>

namespace kingcupcart::journal {

namespace {

/// The format version, stored as the first record of each journal.
const std::string format_record = "kingcupcart journal 3";
/// The format before sync marks were introduced. Such a journal is read, and keeps its format until
/// it is rewritten.
const std::string format_without_sync_marks = "kingcupcart journal 2";

/// Precedes each record. Written in the machine's byte order, which is little-endian on every
/// supported machine.
struct frame_header {
    std::uint32_t length = 0;
    std::uint32_t length_checksum = 0;
    std::uint64_t content_checksum = 0;
};
static_assert(sizeof(frame_header) == 16);

std::uint32_t checksum_of(std::uint32_t length) {
    char bytes[sizeof length];
    std::memcpy(bytes, &length, sizeof length);
    return static_cast<std::uint32_t>(stable_hash({bytes, sizeof bytes}));
}

/// A sync mark has the frame of a record, with the complement of the length's checksum.
enum class frame_kind { record, sync_mark };

std::uint32_t checksum_of(std::uint32_t length, frame_kind kind) {
    return kind == frame_kind::record ? checksum_of(length) : ~checksum_of(length);
}

std::string make_frame(frame_kind kind, std::string_view content) {
    frame_header header;
    header.length = static_cast<std::uint32_t>(content.size());
    header.length_checksum = checksum_of(header.length, kind);
    header.content_checksum = stable_hash(content);
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    return bytes.append(content);
}

/// The content is the mark's own position, so that a mark that was copied elsewhere proves nothing.
std::string make_sync_mark(std::uint64_t position) {
    char bytes[sizeof position];
    std::memcpy(bytes, &position, sizeof position);
    return make_frame(frame_kind::sync_mark, {bytes, sizeof bytes});
}

struct frame {
    frame_kind kind = frame_kind::record;
    /// A view into the bytes that the frame was read from.
    std::string_view content;
};

/// The intact frame at `position`; nothing if it is incomplete or damaged.
std::optional<frame> frame_at(std::string_view bytes, std::size_t position) {
    if (bytes.size() - position < sizeof(frame_header)) {
        return std::nullopt;
    }
    frame_header header;
    std::memcpy(&header, bytes.data() + position, sizeof header);
    frame found;
    found.kind = header.length_checksum == checksum_of(header.length, frame_kind::sync_mark)
                     ? frame_kind::sync_mark
                     : frame_kind::record;
    const std::size_t begin = position + sizeof header;
    if (header.length_checksum != checksum_of(header.length, found.kind) ||
        bytes.size() - begin < header.length) {
        return std::nullopt;
    }
    found.content = bytes.substr(begin, header.length);
    if (stable_hash(found.content) != header.content_checksum) {
        return std::nullopt;
    }
    return found;
}

/// Reads the frames of a file in order, through a window of its bytes.
class frame_reader {
public:
    frame_reader(storage& backing_storage, std::size_t size_limit)
        : backing_storage(backing_storage), size_limit(size_limit) {}

    /// The next frame; nothing at the end, or if no intact frame follows.
    outcome<std::optional<frame>> next() {
        auto found = frame_at(this->window, this->offset);
        while (!found && !this->is_at_end) {
            BOOST_LEAF_CHECK(this->read_more());
            found = frame_at(this->window, this->offset);
        }
        if (found) {
            this->offset += sizeof(frame_header) + found->content.size();
        }
        return found;
    }

    /// Position of the next frame in the file.
    [[nodiscard]] std::size_t position() const { return this->window_position + this->offset; }
    /// Whether bytes follow that are not an intact frame.
    [[nodiscard]] bool has_remainder() const { return this->offset < this->window.size(); }
    /// Whether the file has bytes beyond the size limit.
    [[nodiscard]] outcome<bool> exceeds_limit() const {
        if (this->size_limit == journal_file::unlimited_size) {
            return false;
        }
        BOOST_LEAF_AUTO(excess, this->backing_storage.read(this->size_limit, 1));
        return !excess.empty();
    }

    /// Whether the bytes at `position()` were synced. A sync mark at a later position proves it; in
    /// a file without such marks, any later record is taken as proof.
    [[nodiscard]] bool was_synced(bool has_sync_marks) const {
        for (std::size_t later = this->offset + 1; later < this->window.size(); ++later) {
            const auto found = frame_at(this->window, later);
            if (found && (!has_sync_marks || this->is_sync_mark(*found, later))) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::size_t read_size = 1UL << 20;

    [[nodiscard]] bool is_sync_mark(const frame& found, std::size_t at) const {
        return found.kind == frame_kind::sync_mark &&
               make_sync_mark(this->window_position + at).substr(sizeof(frame_header)) ==
                   found.content;
    }

    outcome<void> read_more() {
        this->window.erase(0, this->offset);
        this->window_position += this->offset;
        this->offset = 0;
        const std::size_t begin = this->window_position + this->window.size();
        const std::size_t size = std::min(read_size, this->size_limit - begin);
        BOOST_LEAF_AUTO(chunk, this->backing_storage.read(begin, size));
        this->is_at_end = chunk.size() < read_size;
        this->window += chunk;
        return {};
    }

    storage& backing_storage;
    std::size_t size_limit;
    std::string window;
    std::size_t window_position = 0;
    std::size_t offset = 0;
    bool is_at_end = false;
};

} // namespace

outcome<journal_file::open_result> journal_file::open(std::unique_ptr<storage> backing_storage,
                                                      const visitor& visit,
                                                      std::size_t size_limit) {
    open_result result;
    result.file.reset(new journal_file(std::move(backing_storage)));
    journal_file& file = *result.file;
    frame_reader reader(*file.backing_storage, size_limit);
    bool has_format = false;
    while (true) {
        const std::size_t begin = reader.position();
        BOOST_LEAF_AUTO(found, reader.next());
        if (!found) {
            break;
        }
        const std::string_view record = found->content;
        if (!has_format) {
            file.has_sync_marks = record != format_without_sync_marks;
            if (file.has_sync_marks && record != format_record) {
                return fail(error_code::invalid_input,
                            "journal has an unsupported format: '" + std::string(record) + "'");
            }
        } else if (found->kind == frame_kind::record) {
            result.was_empty = false;
            BOOST_LEAF_CHECK(visit(record, begin));
        }
        has_format = true;
    }
    if (reader.has_remainder() && reader.was_synced(file.has_sync_marks)) {
        return fail(
            error_code::input_output,
            "journal is damaged at byte " + std::to_string(reader.position()) +
                ", before records that were synced; treat this disk as lost and replace it");
    }
    result.has_torn_tail = reader.has_remainder();
    file.bytes = reader.position();
    if (!has_format) {
        BOOST_LEAF_CHECK(file.rewrite([](std::string&) { return false; }));
        return result;
    }
    BOOST_LEAF_AUTO(has_excess, reader.exceeds_limit());
    BOOST_LEAF_CHECK(file.settle(result.has_torn_tail || has_excess));
    return result;
}

outcome<void> journal_file::settle(bool has_tail) {
    if (has_tail) {
        BOOST_LEAF_CHECK(this->backing_storage->truncate(this->bytes));
    } else {
        // What a process that crashed wrote last may be in the page cache only.
        BOOST_LEAF_CHECK(this->backing_storage->sync());
    }
    this->synced_bytes = this->bytes;
    return {};
}

outcome<void> journal_file::append(const std::string& record) {
    const std::string framed = make_frame(frame_kind::record, record);
    this->bytes += framed.size();
    return this->backing_storage->append(framed);
}

outcome<void> journal_file::sync() {
    BOOST_LEAF_CHECK(this->backing_storage->sync());
    this->synced_bytes = this->bytes;
    return this->append_sync_mark();
}

outcome<void> journal_file::append_sync_mark() {
    if (!this->has_sync_marks) {
        return {};
    }
    const std::string mark = make_sync_mark(this->bytes);
    this->bytes += mark.size();
    return this->backing_storage->append(mark);
}

outcome<std::string> journal_file::read(std::size_t position) const {
    BOOST_LEAF_AUTO(bytes, this->backing_storage->read(position, sizeof(frame_header)));
    frame_header header;
    if (bytes.size() == sizeof header) {
        std::memcpy(&header, bytes.data(), sizeof header);
        BOOST_LEAF_AUTO(content,
                        this->backing_storage->read(position + sizeof header, header.length));
        bytes += content;
    }
    const auto found = frame_at(bytes, 0);
    if (!found || found->kind != frame_kind::record) {
        return fail(error_code::input_output,
                    "journal holds no intact record at byte " + std::to_string(position));
    }
    return std::string(found->content);
}

outcome<void> journal_file::rewrite(const storage::source& next_record) {
    this->bytes = 0;
    this->synced_bytes = unlimited_size;
    bool has_written_format = false;
    BOOST_LEAF_CHECK(this->backing_storage->replace([&](std::string& chunk) {
        std::string record = format_record;
        if (has_written_format && !next_record(record)) {
            return false;
        }
        has_written_format = true;
        chunk = make_frame(frame_kind::record, record);
        this->bytes += chunk.size();
        return true;
    }));
    this->synced_bytes = this->bytes;
    this->has_sync_marks = true;
    return this->append_sync_mark();
}

} // namespace kingcupcart::journal
