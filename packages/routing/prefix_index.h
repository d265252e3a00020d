#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kingcupcart::routing {

/// Maps prompt prefixes to the targets that probably cache them. Entries are hints: they stem from
/// requests that were sent, and from cache events that arrive late and incompletely. They expire by
/// age, and the oldest are evicted above a maximum number.
class prefix_index {
public:
    struct match {
        target_id target;
        /// Share of the prompt's blocks that are expected in the target's cache, 0 to 1.
        double share = 0;
    };

    explicit prefix_index(std::size_t max_entries, duration max_age);

    void add(const std::vector<prefix_hash>& blocks, const target_id& target, time_point now);
    void remove(prefix_hash block);
    void remove(const target_id& target);
    [[nodiscard]] std::optional<match> find(const std::vector<prefix_hash>& blocks,
                                            time_point now) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        target_id target;
        time_point recorded_at;
    };
    struct age_record {
        prefix_hash block;
        time_point recorded_at;
    };

    void evict_oldest();

    std::size_t max_entries;
    duration max_age;
    std::unordered_map<prefix_hash, entry> entries;
    std::deque<age_record> insertion_order;
};

} // namespace kingcupcart::routing
