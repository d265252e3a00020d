#include "journal/journal_file.h"

#include "base/stable_hash.h"

#include <cstdint>
#include <cstring>
#include <optional>
#include <string_view>

namespace kingcupcart::journal {

namespace {

/// Format version; the first record of each journal.
const std::string format_record = "kingcupcart journal 2";

/// Length, checksum of the length, checksum of the content; little-endian on every machine that the
/// project runs on.
struct frame_head {
    std::uint32_t length = 0;
    std::uint32_t length_check = 0;
    std::uint64_t content_check = 0;
};
static_assert(sizeof(frame_head) == 16);

std::uint32_t check_length(std::uint32_t length) {
    char bytes[sizeof length];
    std::memcpy(bytes, &length, sizeof length);
    return static_cast<std::uint32_t>(stable_hash({bytes, sizeof bytes}));
}

std::string frame(const std::string& record) {
    frame_head head;
    head.length = static_cast<std::uint32_t>(record.size());
    head.length_check = check_length(head.length);
    head.content_check = stable_hash(record);
    std::string bytes(sizeof head, '\0');
    std::memcpy(bytes.data(), &head, sizeof head);
    return bytes + record;
}

/// The whole, undamaged record at the position; it points into `bytes`.
std::optional<std::string_view> record_at(std::string_view bytes, std::size_t position) {
    if (bytes.size() - position < sizeof(frame_head)) {
        return std::nullopt;
    }
    frame_head head;
    std::memcpy(&head, bytes.data() + position, sizeof head);
    const std::size_t begin = position + sizeof head;
    if (head.length_check != check_length(head.length) || bytes.size() - begin < head.length) {
        return std::nullopt;
    }
    const std::string_view content = bytes.substr(begin, head.length);
    if (stable_hash(content) != head.content_check) {
        return std::nullopt;
    }
    return content;
}

/// Reads a file's records in order, a window at a time.
class record_reader {
public:
    explicit record_reader(storage& on) : on(on) {}

    /// The next whole record; nothing at the end, or where no whole record follows.
    outcome<std::optional<std::string_view>> next() {
        auto record = record_at(this->window, this->at);
        while (!record && !this->is_at_end) {
            BOOST_LEAF_CHECK(this->read_more());
            record = record_at(this->window, this->at);
        }
        if (record) {
            this->at += sizeof(frame_head) + record->size();
        }
        return record;
    }

    /// Where the next record begins.
    [[nodiscard]] std::size_t position() const { return this->begin + this->at; }
    [[nodiscard]] bool has_rest() const { return this->at < this->window.size(); }

    /// Whether a whole record begins anywhere further on: what stands before it was synced.
    [[nodiscard]] bool has_record_further_on() const {
        for (std::size_t further = this->at + 1; further < this->window.size(); ++further) {
            if (record_at(this->window, further)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::size_t part_size = 1UL << 20;

    outcome<void> read_more() {
        this->window.erase(0, this->at);
        this->begin += this->at;
        this->at = 0;
        BOOST_LEAF_AUTO(part, this->on.read(this->begin + this->window.size(), part_size));
        this->is_at_end = part.size() < part_size;
        this->window += part;
        return {};
    }

    storage& on;
    std::string window;
    std::size_t begin = 0;
    std::size_t at = 0;
    bool is_at_end = false;
};

} // namespace

outcome<journal_file::opened> journal_file::open(std::unique_ptr<storage> on,
                                                 const visitor& found) {
    opened made;
    record_reader reader(*on);
    bool has_format = false;
    while (true) {
        const std::size_t begin = reader.position();
        BOOST_LEAF_AUTO(record, reader.next());
        if (!record) {
            break;
        }
        if (has_format) {
            made.was_empty = false;
            BOOST_LEAF_CHECK(found(*record, begin));
        } else if (*record != format_record) {
            return fail(error_code::invalid_input,
                        "journal is of another format: '" + std::string(*record) + "'");
        }
        has_format = true;
    }
    if (reader.has_rest() && reader.has_record_further_on()) {
        return fail(error_code::input_output,
                    "journal is damaged at byte " + std::to_string(reader.position()) +
                        ", before records that were synced; replace this disk as if it were empty");
    }
    made.has_torn_tail = reader.has_rest();
    made.file.reset(new journal_file(std::move(on)));
    made.file->bytes = reader.position();
    if (!has_format) {
        BOOST_LEAF_CHECK(made.file->rewrite([](std::string&) { return false; }));
    } else if (made.has_torn_tail) {
        BOOST_LEAF_CHECK(made.file->on->truncate(reader.position()));
    }
    return made;
}

outcome<void> journal_file::append(const std::string& record) {
    const std::string framed = frame(record);
    this->bytes += framed.size();
    return this->on->append(framed);
}

outcome<void> journal_file::sync() {
    return this->on->sync();
}

outcome<std::string> journal_file::read(std::size_t position) const {
    BOOST_LEAF_AUTO(bytes, this->on->read(position, sizeof(frame_head)));
    frame_head head;
    if (bytes.size() == sizeof head) {
        std::memcpy(&head, bytes.data(), sizeof head);
        BOOST_LEAF_AUTO(content, this->on->read(position + sizeof head, head.length));
        bytes += content;
    }
    const auto record = record_at(bytes, 0);
    if (!record) {
        return fail(error_code::input_output,
                    "journal holds no whole record at byte " + std::to_string(position));
    }
    return std::string(*record);
}

outcome<void> journal_file::rewrite(const storage::source& next) {
    this->bytes = 0;
    bool is_begun = false;
    BOOST_LEAF_CHECK(this->on->replace([&](std::string& part) {
        std::string record = format_record;
        if (is_begun && !next(record)) {
            return false;
        }
        is_begun = true;
        part = frame(record);
        this->bytes += part.size();
        return true;
    }));
    return {};
}

} // namespace kingcupcart::journal
