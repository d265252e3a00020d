#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "batch/internal/engine_choice.h"
#include "batch/internal/engine_state.h"
#include "batch/internal/scheduled_item.h"
#include "batch/internal/text_origin.h"
#include "batch/internal/version_room.h"
#include "batch/scheduler_limits.h"
#include "batch/scheduler_messages.h"
#include "permits/permit_account.h"

#include <map>
#include <optional>

namespace kingcupcart::batch {

/// The engines, their measured speeds, and the choice of an engine for an item.
class engine_pool {
public:
    /// `permits` has to outlive the pool.
    engine_pool(const scheduler_limits& limits, const permits::permit_account& permits)
        : limits(limits), permits(permits) {}

    /// Null if the engine is unknown.
    [[nodiscard]] engine_state* find(const target_id& id);
    /// Adds the engine, or updates its properties.
    engine_state& update(const engine& descriptor);
    void remove(const target_id& id);
    /// Discards the measured event interval.
    void reset_event_interval(engine_state& state);

    /// Stops new runs on the engine for an exponential backoff after a run broke or timed out.
    void back_off(engine_state& state, time_point now) const;
    /// Adds the time between two successive events to the engine's moving average.
    void record_event_interval(engine_state& state, duration per_event, time_point now);
    /// Ratio of the engine's event interval to the median over all engines; 1 if it is unknown.
    [[nodiscard]] double slowness(const engine_state& state, time_point now) const;
    /// Records which engines are too slow for their runs to stay.
    void track_slowness(time_point now);
    /// Median of the engines' event intervals; zero if none is known.
    [[nodiscard]] duration median_event_interval() const;

    /// The engine on which the item is expected to complete first; null if none has room for it.
    [[nodiscard]] engine_state* choose_engine(const scheduled_item& item, const job_opened& job,
                                              engine_choice choice, time_point now);
    /// Whether the engine takes a limited rate of requests.
    [[nodiscard]] bool is_limited(const engine_state& state) const {
        return this->permits.is_limited(state.descriptor.id);
    }
    /// Whether a run may start on any engine.
    [[nodiscard]] bool has_free_slot(time_point now) const;
    /// The largest item that an engine with a free slot accepts for the job; negative if no engine
    /// has a free slot.
    [[nodiscard]] tokens largest_room(const job_opened& job, time_point now) const;
    /// Room of the engines for the items of the job whose texts have this origin.
    [[nodiscard]] version_room version_room_of(const text_origin& origin, const job_opened& job,
                                               time_point now) const;
    /// Whether no other engine has newer weights of the model.
    [[nodiscard]] bool has_newest_weights(const engine_state& state, const model_name& model) const;
    /// Memory that a run of the item uses on average over its duration.
    [[nodiscard]] tokens expected_memory(const scheduled_item& item) const;

private:
    [[nodiscard]] duration compute_median_event_interval() const;
    [[nodiscard]] weight_version newest_version_of(const model_name& model) const;
    /// Whether a run may start on the engine, whatever it is.
    [[nodiscard]] bool is_available(const engine_state& state, time_point now) const;
    /// Whether the engine's service and weights are those of the job.
    [[nodiscard]] static bool is_eligible(const engine_state& state, const job_opened& job);
    [[nodiscard]] bool can_serve(const engine_state& state, const job_opened& job,
                                 time_point now) const;
    /// The largest item for which the engine has memory.
    [[nodiscard]] tokens room_of(const engine_state& state) const;
    [[nodiscard]] bool can_accept(const engine_state& state, const scheduled_item& item,
                                  const job_opened& job, engine_choice choice,
                                  time_point now) const;

    scheduler_limits limits;
    const permits::permit_account& permits;
    std::map<target_id, engine_state> engines;
    /// Cached median, since it is read far more often than it changes; reset by each change of an
    /// engine's event interval.
    mutable std::optional<duration> median;
};

} // namespace kingcupcart::batch
