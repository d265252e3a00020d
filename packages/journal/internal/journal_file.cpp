#include "journal/journal_file.h"

#include "base/stable_hash.h"

#include <cstdint>
#include <cstring>
#include <optional>
#include <string_view>

namespace kingcupcart::journal {

namespace {

/// Format version; the first record of each journal.
const std::string format_record = "kingcupcart journal 1";

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

/// The whole, undamaged record at the position.
std::optional<std::string> record_at(std::string_view bytes, std::size_t position) {
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
    return std::string(content);
}

/// Whether a whole record begins anywhere after the position: what stands before it was synced.
bool has_record_after(std::string_view bytes, std::size_t position) {
    for (std::size_t at = position + 1; at < bytes.size(); ++at) {
        if (record_at(bytes, at)) {
            return true;
        }
    }
    return false;
}

} // namespace

outcome<journal_file::opened> journal_file::open(std::unique_ptr<storage> on) {
    BOOST_LEAF_AUTO(bytes, on->read());
    opened found;
    std::size_t position = 0;
    while (position < bytes.size()) {
        auto record = record_at(bytes, position);
        if (!record) {
            break;
        }
        position += sizeof(frame_head) + record->size();
        found.records.push_back(std::move(*record));
    }
    if (position < bytes.size() && has_record_after(bytes, position)) {
        return fail(error_code::input_output,
                    "journal is damaged at byte " + std::to_string(position) +
                        ", before records that were synced; replace this disk as if it were empty");
    }
    if (!found.records.empty() && found.records.front() != format_record) {
        return fail(error_code::invalid_input,
                    "journal is of another format: '" + found.records.front() + "'");
    }
    found.torn_bytes = bytes.size() - position;
    found.file.reset(new journal_file(std::move(on)));
    if (found.records.empty() || found.torn_bytes > 0) {
        std::vector<std::string> kept(found.records.begin() + (found.records.empty() ? 0 : 1),
                                      found.records.end());
        BOOST_LEAF_CHECK(found.file->rewrite(kept));
        found.records = std::move(kept);
    } else {
        found.records.erase(found.records.begin());
        found.file->bytes = bytes.size();
    }
    return found;
}

outcome<void> journal_file::append(const std::string& record) {
    const std::string framed = frame(record);
    this->bytes += framed.size();
    return this->on->append(framed);
}

outcome<void> journal_file::sync() {
    return this->on->sync();
}

outcome<void> journal_file::rewrite(const std::vector<std::string>& records) {
    std::string all = frame(format_record);
    for (const std::string& record : records) {
        all += frame(record);
    }
    this->bytes = all.size();
    return this->on->replace(all);
}

} // namespace kingcupcart::journal
