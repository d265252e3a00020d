#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "batch/internal/engine_state.h"
#include "batch/internal/scheduled_item.h"
#include "batch/scheduler_limits.h"
#include "batch/scheduler_messages.h"

#include <map>
#include <optional>

namespace kingcupcart::batch {

/// The engines with what was seen of their pace, and the choice among them.
class engine_pool {
public:
    explicit engine_pool(const scheduler_limits& limits) : limits(limits) {}

    /// Null where it is not known.
    [[nodiscard]] engine_state* find(const target_id& id);
    engine_state& update(const engine& known);
    void remove(const target_id& id);
    /// What was seen of its pace counts no longer.
    void forget_pace(engine_state& at);

    /// The engine broke a run or was silent: it gets nothing new for a while, longer each time.
    void pause(engine_state& at, time_point now) const;
    /// Weighs in the time that an event took to come after the one before.
    void observe(engine_state& at, duration per_event, time_point now);
    /// How many times slower than the median the engine is; 1 where nothing is known.
    [[nodiscard]] double slowness(const engine_state& at, time_point now) const;
    /// Median time between two events over the engines; zero where none is known.
    [[nodiscard]] duration median_pace() const;

    /// The engine on which the item ends soonest; null where none has room for it.
    [[nodiscard]] engine_state* choose(const scheduled_item& item, const job_opened& job,
                                       time_point now);
    [[nodiscard]] bool has_room(time_point now) const;
    /// Whether an engine has a slot for some item of the job.
    [[nodiscard]] bool has_room_for(const job_opened& job, time_point now) const;
    /// Whether no engine has newer weights of the model.
    [[nodiscard]] bool has_newest(const engine_state& at, const model_name& model) const;
    /// Memory that a run takes on average over its life.
    [[nodiscard]] tokens expected_room(const scheduled_item& item) const;

private:
    [[nodiscard]] duration find_median_pace() const;
    [[nodiscard]] weight_version newest_of(const model_name& model) const;
    [[nodiscard]] static bool can_serve(const engine_state& at, const job_opened& job,
                                        time_point now);
    [[nodiscard]] bool can_take(const engine_state& at, const scheduled_item& item,
                                const job_opened& job, time_point now) const;

    scheduler_limits limits;
    std::map<target_id, engine_state> engines;
    /// Empty once a pace has changed; asked for far more often than that.
    mutable std::optional<duration> median;
};

} // namespace kingcupcart::batch
