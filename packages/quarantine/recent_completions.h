#pragma once

#include "base/clock.h"
#include "base/request_fingerprint.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace kingcupcart::quarantine {

/// When requests last got a whole response. Remembers responses for `answered_lifetime`.
class recent_completions {
public:
    /// Remembers up to `limit` responses.
    explicit recent_completions(std::size_t limit) : limit(limit) {}

    void record(const request_fingerprint& fingerprint, time_point now);
    /// Time of the request's latest response; empty if none is remembered.
    [[nodiscard]] std::optional<time_point> find(const request_fingerprint& fingerprint) const;

private:
    std::size_t limit;
    std::unordered_map<request_fingerprint, time_point> latest;
    std::deque<std::pair<time_point, request_fingerprint>> by_age;
};

} // namespace kingcupcart::quarantine
