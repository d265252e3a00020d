#include "journal/journal_file.h"

#include "base/stable_hash.h"

#include <cstdint>
#include <cstring>
#include <optional>
#include <string_view>

namespace kingcupcart::journal {

namespace {

/// The format version, stored as the first record of each journal.
const std::string format_record = "kingcupcart journal 2";

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

std::string frame_record(const std::string& record) {
    frame_header header;
    header.length = static_cast<std::uint32_t>(record.size());
    header.length_checksum = checksum_of(header.length);
    header.content_checksum = stable_hash(record);
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    return bytes + record;
}

/// The intact record at `position`, as a view into `bytes`; nothing if it is incomplete or damaged.
std::optional<std::string_view> record_at(std::string_view bytes, std::size_t position) {
    if (bytes.size() - position < sizeof(frame_header)) {
        return std::nullopt;
    }
    frame_header header;
    std::memcpy(&header, bytes.data() + position, sizeof header);
    const std::size_t begin = position + sizeof header;
    if (header.length_checksum != checksum_of(header.length) ||
        bytes.size() - begin < header.length) {
        return std::nullopt;
    }
    const std::string_view content = bytes.substr(begin, header.length);
    if (stable_hash(content) != header.content_checksum) {
        return std::nullopt;
    }
    return content;
}

/// Reads the records of a file in order, through a window of its bytes.
class record_reader {
public:
    explicit record_reader(storage& backing_storage) : backing_storage(backing_storage) {}

    /// The next record; nothing at the end, or if no intact record follows.
    outcome<std::optional<std::string_view>> next() {
        auto record = record_at(this->window, this->offset);
        while (!record && !this->is_at_end) {
            BOOST_LEAF_CHECK(this->read_more());
            record = record_at(this->window, this->offset);
        }
        if (record) {
            this->offset += sizeof(frame_header) + record->size();
        }
        return record;
    }

    /// Position of the next record in the file.
    [[nodiscard]] std::size_t position() const { return this->window_position + this->offset; }
    [[nodiscard]] bool has_remainder() const { return this->offset < this->window.size(); }

    /// Whether an intact record begins at a later position. If so, the bytes before it were synced.
    [[nodiscard]] bool has_later_record() const {
        for (std::size_t later = this->offset + 1; later < this->window.size(); ++later) {
            if (record_at(this->window, later)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::size_t read_size = 1UL << 20;

    outcome<void> read_more() {
        this->window.erase(0, this->offset);
        this->window_position += this->offset;
        this->offset = 0;
        BOOST_LEAF_AUTO(chunk, this->backing_storage.read(
                                   this->window_position + this->window.size(), read_size));
        this->is_at_end = chunk.size() < read_size;
        this->window += chunk;
        return {};
    }

    storage& backing_storage;
    std::string window;
    std::size_t window_position = 0;
    std::size_t offset = 0;
    bool is_at_end = false;
};

} // namespace

outcome<journal_file::open_result> journal_file::open(std::unique_ptr<storage> backing_storage,
                                                      const visitor& visit) {
    open_result result;
    record_reader reader(*backing_storage);
    bool has_format = false;
    while (true) {
        const std::size_t begin = reader.position();
        BOOST_LEAF_AUTO(record, reader.next());
        if (!record) {
            break;
        }
        if (has_format) {
            result.was_empty = false;
            BOOST_LEAF_CHECK(visit(*record, begin));
        } else if (*record != format_record) {
            return fail(error_code::invalid_input,
                        "journal has an unsupported format: '" + std::string(*record) + "'");
        }
        has_format = true;
    }
    if (reader.has_remainder() && reader.has_later_record()) {
        return fail(
            error_code::input_output,
            "journal is damaged at byte " + std::to_string(reader.position()) +
                ", before records that were synced; treat this disk as lost and replace it");
    }
    result.has_torn_tail = reader.has_remainder();
    result.file.reset(new journal_file(std::move(backing_storage)));
    result.file->bytes = reader.position();
    if (!has_format) {
        BOOST_LEAF_CHECK(result.file->rewrite([](std::string&) { return false; }));
    } else if (result.has_torn_tail) {
        BOOST_LEAF_CHECK(result.file->backing_storage->truncate(reader.position()));
    }
    return result;
}

outcome<void> journal_file::append(const std::string& record) {
    const std::string framed = frame_record(record);
    this->bytes += framed.size();
    return this->backing_storage->append(framed);
}

outcome<void> journal_file::sync() {
    return this->backing_storage->sync();
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
    const auto record = record_at(bytes, 0);
    if (!record) {
        return fail(error_code::input_output,
                    "journal holds no intact record at byte " + std::to_string(position));
    }
    return std::string(*record);
}

outcome<void> journal_file::rewrite(const storage::source& next_record) {
    this->bytes = 0;
    bool has_written_format = false;
    BOOST_LEAF_CHECK(this->backing_storage->replace([&](std::string& chunk) {
        std::string record = format_record;
        if (has_written_format && !next_record(record)) {
            return false;
        }
        has_written_format = true;
        chunk = frame_record(record);
        this->bytes += chunk.size();
        return true;
    }));
    return {};
}

} // namespace kingcupcart::journal
