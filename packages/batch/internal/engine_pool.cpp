#include "batch/internal/engine_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace kingcupcart::batch {

namespace {

/// Time constant of the moving average of an engine's event interval: longer than the short
/// slowdowns that load outside the scheduler's view causes, shorter than a long run.
constexpr duration interval_averaging_window = std::chrono::milliseconds(800);
/// Maximum weight of one observation in the moving average.
constexpr double max_interval_weight = 0.3;
/// Without new events, an engine's measured slowness decays towards 1 with this time constant: it
/// loses about two thirds of its effect in this time.
constexpr duration slowness_decay_time = std::chrono::seconds(2);
/// Score factors (a lower score is better) for an engine whose weights are older than another
/// engine's, and for the engine that the item was just moved away from.
constexpr double old_weights_factor = 1.1;
constexpr double avoided_engine_factor = 4;
/// The same for an engine that takes a limited rate: its permits are for what finds no room else.
constexpr double limited_engine_factor = 2;

double seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

engine_state* engine_pool::find(const target_id& id) {
    const auto found = this->engines.find(id);
    return found == this->engines.end() ? nullptr : &found->second;
}

engine_state& engine_pool::update(const engine& descriptor) {
    engine_state& state = this->engines[descriptor.id];
    state.descriptor = descriptor;
    return state;
}

void engine_pool::remove(const target_id& id) {
    this->engines.erase(id);
    this->median.reset();
}

void engine_pool::reset_event_interval(engine_state& state) {
    state.event_interval = duration::zero();
    this->median.reset();
}

void engine_pool::back_off(engine_state& state, time_point now) const {
    if (state.backoff_until > now) {
        // Several runs that break at the same time count as one failure.
        return;
    }
    const duration backoff = std::max(state.next_backoff, this->limits.broken_backoff);
    state.backoff_until = now + backoff;
    state.next_backoff = std::min(backoff * 2, this->limits.max_broken_backoff);
}

void engine_pool::record_event_interval(engine_state& state, duration per_event, time_point now) {
    const bool includes_load =
        state.last_loading_at != time_point{} &&
        now - per_event <= state.last_loading_at + this->limits.check_interval;
    if (state.descriptor.is_loading || includes_load) {
        // A load pauses the runs once; the engine is no slower afterwards.
        return;
    }
    if (state.event_interval == duration::zero()) {
        state.event_interval = per_event;
        state.first_interval_at = now;
        state.interval_count = 1;
    } else {
        const double elapsed =
            seconds(now - state.last_interval_at) / seconds(interval_averaging_window);
        // The first observations have equal weights, so that a late first event does not outweigh
        // the following ones.
        const double weight = std::max(1.0 / ++state.interval_count,
                                       std::min(max_interval_weight, 1 - std::exp(-elapsed)));
        const double average =
            seconds(state.event_interval) * (1 - weight) + seconds(per_event) * weight;
        state.event_interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(average));
    }
    state.last_interval_at = now;
    this->median.reset();
}

duration engine_pool::median_event_interval() const {
    if (!this->median) {
        this->median = this->compute_median_event_interval();
    }
    return *this->median;
}

duration engine_pool::compute_median_event_interval() const {
    std::vector<duration> intervals;
    for (const auto& [id, state] : this->engines) {
        if (state.event_interval > duration::zero()) {
            intervals.push_back(state.event_interval);
        }
    }
    if (intervals.empty()) {
        return duration::zero();
    }
    const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
    std::nth_element(intervals.begin(), middle, intervals.end());
    return *middle;
}

double engine_pool::slowness(const engine_state& state, time_point now) const {
    const duration median = this->median_event_interval();
    const bool is_observed_too_briefly =
        now - state.first_interval_at < this->limits.min_observation_time;
    if (state.event_interval == duration::zero() || median == duration::zero() ||
        is_observed_too_briefly) {
        return 1;
    }
    const double ratio = seconds(state.event_interval) / seconds(median);
    const double age = seconds(now - state.last_interval_at) / seconds(slowness_decay_time);
    return 1 + (ratio - 1) * std::exp(-age);
}

void engine_pool::track_slowness(time_point now) {
    for (auto& [id, state] : this->engines) {
        if (state.descriptor.is_loading) {
            state.last_loading_at = now;
        }
        if (this->slowness(state, now) < this->limits.move_from_slowness) {
            state.slow_since.reset();
        } else if (!state.slow_since) {
            state.slow_since = now;
        }
    }
}

bool engine_pool::is_available(const engine_state& state, time_point now) const {
    return state.has_slot(now) && this->permits.may_send(state.descriptor.id, now);
}

bool engine_pool::can_serve(const engine_state& state, const job_opened& job,
                            time_point now) const {
    return this->is_available(state, now) && is_eligible(state, job);
}

bool engine_pool::is_eligible(const engine_state& state, const job_opened& job) {
    const auto& services = job.services;
    if (std::find(services.begin(), services.end(), state.descriptor.service) == services.end()) {
        return false;
    }
    if (job.model.value().empty()) {
        return true;
    }
    const auto version = state.descriptor.versions.find(job.model);
    return version != state.descriptor.versions.end() && version->second >= job.oldest_version;
}

bool engine_pool::can_accept(const engine_state& state, const scheduled_item& item,
                             const job_opened& job, engine_choice choice, time_point now) const {
    if (!includes(choice, state.descriptor, item) || !can_serve(state, job, now)) {
        return false;
    }
    const bool is_resumed = item.received_events > 0 && choice != engine_choice::other_origin;
    if (job.needs_single_version && is_resumed && !job.model.value().empty() &&
        state.descriptor.versions.at(job.model) != item.newest) {
        return false;
    }
    return this->expected_memory(item) <= this->room_of(state);
}

tokens engine_pool::room_of(const engine_state& state) const {
    if (state.runs.empty() || state.descriptor.memory.count() == 0) {
        return tokens(std::numeric_limits<std::int64_t>::max());
    }
    const double usable =
        static_cast<double>(state.descriptor.memory.count()) * this->limits.max_memory_share;
    return tokens(static_cast<std::int64_t>(usable)) - state.reserved;
}

engine_state* engine_pool::choose_engine(const scheduled_item& item, const job_opened& job,
                                         engine_choice choice, time_point now) {
    engine_state* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    const weight_version newest = this->newest_version_of(job.model);
    for (auto& [id, state] : this->engines) {
        if (!this->can_accept(state, item, job, choice, now)) {
            continue;
        }
        const double load = static_cast<double>(state.running()) / state.descriptor.slots;
        double score = this->slowness(state, now) * (1 + load * this->limits.full_load_penalty);
        const auto version = state.descriptor.versions.find(job.model);
        if (version != state.descriptor.versions.end() && version->second < newest) {
            score *= old_weights_factor;
        }
        if (this->is_limited(state)) {
            score *= limited_engine_factor;
        }
        if (id == item.avoided_engine) {
            score *= avoided_engine_factor;
        }
        if (score < best_score) {
            best_score = score;
            best = &state;
        }
    }
    return best;
}

weight_version engine_pool::newest_version_of(const model_name& model) const {
    weight_version newest;
    for (const auto& [id, state] : this->engines) {
        const auto version = state.descriptor.versions.find(model);
        if (version != state.descriptor.versions.end()) {
            newest = std::max(newest, version->second);
        }
    }
    return newest;
}

bool engine_pool::has_newest_weights(const engine_state& state, const model_name& model) const {
    const auto version = state.descriptor.versions.find(model);
    return version == state.descriptor.versions.end() ||
           version->second >= this->newest_version_of(model);
}

tokens engine_pool::expected_memory(const scheduled_item& item) const {
    // The output grows linearly from zero to its full length.
    return item.spec.prompt + tokens(item.spec.output.count() / 2);
}

tokens engine_pool::largest_room(const job_opened& job, time_point now) const {
    tokens largest(-1);
    for (const auto& [id, state] : this->engines) {
        if (can_serve(state, job, now)) {
            largest = std::max(largest, this->room_of(state));
        }
    }
    return largest;
}

version_room engine_pool::version_room_of(const text_origin& origin, const job_opened& job,
                                          time_point now) const {
    version_room room;
    for (const auto& [id, state] : this->engines) {
        if (!is_eligible(state, job)) {
            continue;
        }
        const bool is_same = origin_of(state.descriptor) == origin;
        if (is_same && !state.descriptor.is_leaving) {
            const time_point available_at = std::max(now, state.backoff_until);
            room.available_at = std::min(room.available_at.value_or(available_at), available_at);
        }
        if (this->is_available(state, now)) {
            tokens& largest = is_same ? room.same : room.other;
            largest = std::max(largest, this->room_of(state));
        }
    }
    return room;
}

bool engine_pool::has_free_slot(time_point now) const {
    return std::any_of(this->engines.begin(), this->engines.end(),
                       [&](const auto& entry) { return this->is_available(entry.second, now); });
}

} // namespace kingcupcart::batch
