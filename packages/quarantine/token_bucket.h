#pragma once

#include "base/clock.h"

#include <optional>

namespace kingcupcart::quarantine {

/// Limits the rate of messages: each takes a token from a bucket that is full at first.
class token_bucket {
public:
    /// Adds `rate` tokens a second, up to `burst`.
    token_bucket(double rate, double burst) : rate(rate), burst(burst), tokens(burst) {}

    /// Adds the tokens of the time since the last call.
    void refill(time_point now);
    /// Refills the bucket and takes a token. Returns false if none is left.
    [[nodiscard]] bool take(time_point now);
    /// When a token can be taken, as of the last refill; `time_point::min()` if one is left.
    [[nodiscard]] time_point next_at() const;

private:
    double rate;
    double burst;
    double tokens;
    std::optional<time_point> refilled_at;
};

} // namespace kingcupcart::quarantine
