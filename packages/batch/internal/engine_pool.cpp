#include "batch/internal/engine_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace kingcupcart::batch {

namespace {

/// Time over which an engine's pace is averaged: longer than the moments for which unseen
/// neighbours slow an engine down, shorter than a long run.
constexpr duration pace_window = std::chrono::milliseconds(800);
/// Largest weight of one observation.
constexpr double pace_weight_max = 0.3;
/// What was seen of an engine's pace loses two thirds of its say in this time.
constexpr duration pace_memory = std::chrono::seconds(2);
/// Factors towards a better choice: weights that are older than another engine's, the engine that
/// the item was just taken from.
constexpr double old_weights_factor = 1.1;
constexpr double avoided_factor = 4;

double seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

engine_state* engine_pool::find(const target_id& id) {
    const auto found = this->engines.find(id);
    return found == this->engines.end() ? nullptr : &found->second;
}

engine_state& engine_pool::update(const engine& known) {
    engine_state& state = this->engines[known.id];
    state.known = known;
    return state;
}

void engine_pool::remove(const target_id& id) {
    this->engines.erase(id);
    this->median.reset();
}

void engine_pool::forget_pace(engine_state& at) {
    at.pace = duration::zero();
    this->median.reset();
}

void engine_pool::pause(engine_state& at, time_point now) const {
    if (at.paused_until > now) {
        // Runs that break together count once.
        return;
    }
    const duration pause = std::max(at.next_pause, this->limits.pause_broken);
    at.paused_until = now + pause;
    at.next_pause = std::min(pause * 2, this->limits.pause_broken_max);
}

void engine_pool::observe(engine_state& at, duration per_event, time_point now) {
    if (at.pace == duration::zero()) {
        at.pace = per_event;
        at.pace_begun = now;
        at.paces = 1;
    } else {
        const double since = seconds(now - at.pace_seen) / seconds(pace_window);
        // The plain average at first: a late first event does not outweigh the next ones.
        const double weight =
            std::max(1.0 / ++at.paces, std::min(pace_weight_max, 1 - std::exp(-since)));
        const double mixed = seconds(at.pace) * (1 - weight) + seconds(per_event) * weight;
        at.pace = std::chrono::duration_cast<duration>(std::chrono::duration<double>(mixed));
    }
    at.pace_seen = now;
    this->median.reset();
}

duration engine_pool::median_pace() const {
    if (!this->median) {
        this->median = this->find_median_pace();
    }
    return *this->median;
}

duration engine_pool::find_median_pace() const {
    std::vector<duration> paces;
    for (const auto& [id, state] : this->engines) {
        if (state.pace > duration::zero()) {
            paces.push_back(state.pace);
        }
    }
    if (paces.empty()) {
        return duration::zero();
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

double engine_pool::slowness(const engine_state& at, time_point now) const {
    const duration median = this->median_pace();
    const bool is_fresh = now - at.pace_begun < this->limits.pace_trust;
    if (at.pace == duration::zero() || median == duration::zero() || is_fresh) {
        return 1;
    }
    const double ratio = seconds(at.pace) / seconds(median);
    const double age = seconds(now - at.pace_seen) / seconds(pace_memory);
    return 1 + (ratio - 1) * std::exp(-age);
}

bool engine_pool::can_serve(const engine_state& at, const job_opened& job, time_point now) {
    if (!at.has_slot(now)) {
        return false;
    }
    const auto& services = job.services;
    if (std::find(services.begin(), services.end(), at.known.service) == services.end()) {
        return false;
    }
    if (job.model.value().empty()) {
        return true;
    }
    const auto version = at.known.versions.find(job.model);
    return version != at.known.versions.end() && version->second >= job.oldest_version;
}

bool engine_pool::can_take(const engine_state& at, const scheduled_item& item,
                           const job_opened& job, time_point now) const {
    if (!can_serve(at, job, now)) {
        return false;
    }
    if (job.needs_single_version && item.events > 0 && !job.model.value().empty() &&
        at.known.versions.at(job.model) != item.newest) {
        return false;
    }
    const double room = static_cast<double>(at.known.memory.count()) * this->limits.memory_share;
    const auto size = static_cast<double>(this->expected_room(item).count());
    return at.runs.empty() || at.known.memory.count() == 0 ||
           static_cast<double>(at.reserved.count()) + size <= room;
}

engine_state* engine_pool::choose(const scheduled_item& item, const job_opened& job,
                                  time_point now) {
    engine_state* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    const weight_version newest = this->newest_of(job.model);
    for (auto& [id, state] : this->engines) {
        if (!this->can_take(state, item, job, now)) {
            continue;
        }
        const double load = static_cast<double>(state.running()) / state.known.slots;
        double score = this->slowness(state, now) * (1 + load * this->limits.full_load_cost);
        const auto version = state.known.versions.find(job.model);
        if (version != state.known.versions.end() && version->second < newest) {
            score *= old_weights_factor;
        }
        if (id == item.avoided) {
            score *= avoided_factor;
        }
        if (score < best_score) {
            best_score = score;
            best = &state;
        }
    }
    return best;
}

weight_version engine_pool::newest_of(const model_name& model) const {
    weight_version newest;
    for (const auto& [id, state] : this->engines) {
        const auto version = state.known.versions.find(model);
        if (version != state.known.versions.end()) {
            newest = std::max(newest, version->second);
        }
    }
    return newest;
}

bool engine_pool::has_newest(const engine_state& at, const model_name& model) const {
    const auto version = at.known.versions.find(model);
    return version == at.known.versions.end() || version->second >= this->newest_of(model);
}

tokens engine_pool::expected_room(const scheduled_item& item) const {
    // The output grows from nothing to its whole length.
    return item.facts.prompt + tokens(item.facts.output.count() / 2);
}

bool engine_pool::has_room_for(const job_opened& job, time_point now) const {
    return std::any_of(this->engines.begin(), this->engines.end(),
                       [&](const auto& item) { return can_serve(item.second, job, now); });
}

bool engine_pool::has_room(time_point now) const {
    return std::any_of(this->engines.begin(), this->engines.end(),
                       [&](const auto& item) { return item.second.has_slot(now); });
}

} // namespace kingcupcart::batch
