#pragma once

#include "base/ids.h"
#include "routes/route.h"
#include "streams/stream_id.h"

#include <algorithm>
#include <cstdint>

namespace kingcupcart::gateway {

/// Whether a request states that its caller has received a part of the stream already.
[[nodiscard]] inline bool is_take_up(const routes::route& route, std::uint64_t resume_after,
                                     const streams::stream_id& resumes) {
    return route.kind == routes::route_kind::stream &&
           (resume_after > 0 || !resumes.value().empty());
}

[[nodiscard]] inline bool is_served_by(const routes::route& route, const backend_name& service) {
    return std::any_of(route.shares.begin(), route.shares.end(),
                       [&](const routes::service_share& share) {
                           return share.service == service && share.weight > 0;
                       });
}

} // namespace kingcupcart::gateway
