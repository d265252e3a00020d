#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>
#include <queue>
#include <vector>

namespace kingcupcart::requests {

/// Times at which the dispatcher has to check a request again. Timers cannot be cancelled: the
/// receiver of an expired timer checks whether it still applies.
class timer_queue {
public:
    enum class purpose { deadline, latest_send, permit, hedge, stall };

    struct timer {
        time_point due;
        purpose timer_purpose = purpose::deadline;
        request_id request;

        friend bool operator>(const timer& a, const timer& b) { return a.due > b.due; }
    };

    void add(const timer& added) { this->timers.push(added); }

    /// Removes and returns the earliest timer that is due; empty if none is.
    [[nodiscard]] std::optional<timer> pop_due(time_point now) {
        if (this->timers.empty() || this->timers.top().due > now) {
            return std::nullopt;
        }
        const timer due = this->timers.top();
        this->timers.pop();
        return due;
    }

    [[nodiscard]] std::optional<time_point> next() const {
        if (this->timers.empty()) {
            return std::nullopt;
        }
        return this->timers.top().due;
    }

private:
    std::priority_queue<timer, std::vector<timer>, std::greater<>> timers;
};

} // namespace kingcupcart::requests
