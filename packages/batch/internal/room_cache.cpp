#include "batch/internal/room_cache.h"

#include <algorithm>

namespace kingcupcart::batch {

tokens room_cache::largest_room(const job_opened& job) {
    std::optional<tokens>& largest = this->jobs[job.job].largest;
    if (!largest) {
        largest = this->engines.largest_room(job, this->now);
    }
    return *largest;
}

version_room room_cache::room_of(const text_origin& origin, const job_opened& job) {
    auto& versions = this->jobs[job.job].versions;
    const auto known = std::find_if(versions.begin(), versions.end(),
                                    [&](const auto& entry) { return entry.first == origin; });
    if (known != versions.end()) {
        return known->second;
    }
    return versions.emplace_back(origin, this->engines.version_room_of(origin, job, this->now))
        .second;
}

} // namespace kingcupcart::batch
