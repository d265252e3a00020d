#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kingcupcart::routing {

/// Where a prompt prefix is probably cached. Entries are hints: they come from what was sent and
/// from late cache events with gaps, and they are forgotten by age and by number.
class prefix_index {
public:
    struct match {
        target_id target;
        /// Share of the asked blocks that are believed to be cached, 0 to 1.
        double share = 0;
    };

    explicit prefix_index(std::size_t entries_max, duration age_max);

    void remember(const std::vector<prefix_hash>& blocks, const target_id& target, time_point now);
    void forget(prefix_hash block);
    void forget(const target_id& target);
    [[nodiscard]] std::optional<match> find(const std::vector<prefix_hash>& blocks,
                                            time_point now) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        target_id target;
        time_point seen;
    };
    struct age_record {
        prefix_hash block;
        time_point seen;
    };

    void drop_oldest();

    std::size_t entries_max;
    duration age_max;
    std::unordered_map<prefix_hash, entry> entries;
    std::deque<age_record> by_age;
};

} // namespace kingcupcart::routing
