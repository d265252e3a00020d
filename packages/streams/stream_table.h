#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "streams/stream_record.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kingcupcart::streams {

/// A bounded number of stream records, each until it expires. While it is full, each new record
/// evicts the one that would expire first.
class stream_table {
public:
    explicit stream_table(std::size_t max_records) : max_records(max_records) {}

    /// Adds a record, or renews the one of the same stream. Records that name different versions or
    /// services leave the version unknown, in whichever order they arrive.
    void put(const stream_record& record, time_point now);
    /// Empty if the stream is not known.
    [[nodiscard]] std::optional<stream_record> find(const stream_id& stream, time_point now) const;
    /// The streams in the table, beginning with the one that expires first.
    [[nodiscard]] std::vector<stream_id> streams() const;
    void remove_expired(time_point now);

    [[nodiscard]] std::size_t size() const { return this->entries.size(); }
    /// Number of records that were removed before they expired.
    [[nodiscard]] std::uint64_t evicted() const { return this->evictions; }

private:
    /// What many records have in common.
    struct origin {
        backend_name backend;
        std::optional<software_version> software;

        friend auto operator<=>(const origin&, const origin&) = default;
    };
    /// Number of records with that origin.
    using origin_counts = std::map<origin, std::size_t>;
    struct entry;
    using entry_map = std::unordered_map<stream_id, entry>;
    using expiry_map = std::multimap<time_point, const stream_id*>;
    struct entry {
        origin_counts::iterator origin;
        expiry_map::iterator expiry;
        time_point recorded_at{};
    };

    void set_origin(entry& changed, const origin& value);
    void release_origin(const entry& changed);
    void remove_first();

    std::size_t max_records;
    std::uint64_t evictions = 0;
    origin_counts origins;
    entry_map entries;
    expiry_map expiries;
};

} // namespace kingcupcart::streams
