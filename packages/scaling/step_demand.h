#pragma once

#include "base/clock.h"
#include "base/units.h"
#include "scaling/scaler_limits.h"
#include "scaling/scaler_messages.h"

#include <deque>
#include <vector>

namespace kingcupcart::scaling {

/// The slots that a service needs for the steps of its models: the largest need of the latest
/// `hold_time`, so that it rises at once and falls late.
class step_demand {
public:
    void record(const std::vector<model_load>& models, const scaler_limits& limits, time_point now);

    /// False until steps have been submitted.
    [[nodiscard]] bool is_known() const { return !this->needs.empty(); }
    [[nodiscard]] slot_count needed_slots() const;
    [[nodiscard]] slot_count waiting() const { return this->waiting_slots; }
    [[nodiscard]] duration lateness() const { return this->latest_lateness; }
    [[nodiscard]] time_point reported_at() const { return this->latest_report; }

private:
    struct need {
        slot_count slots;
        time_point at{};
    };

    /// Needs in the order of their times, each lower than the one before it; the first is the
    /// largest.
    std::deque<need> needs;
    slot_count waiting_slots;
    duration latest_lateness{};
    time_point latest_report{};
};

} // namespace kingcupcart::scaling
