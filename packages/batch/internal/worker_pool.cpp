#include "batch/worker_pool.h"

#include <limits>
#include <utility>

namespace kingcupcart::batch {

namespace {

/// Number of additional runs that a store in the engine's failure domain carries before one in
/// another domain of the region, or in another region, is chosen.
constexpr std::size_t other_domain_cost = 4;
constexpr std::size_t other_region_cost = 12;

std::size_t distance_cost(const location& worker, const location& engine) {
    if (worker.domain == engine.domain) {
        return 0;
    }
    return worker.region == engine.region ? other_domain_cost : other_region_cost;
}

} // namespace

void worker_pool::add(const instance_id& worker, const location& place) {
    this->workers[worker].place = place;
}

std::vector<run_id> worker_pool::remove(const instance_id& worker) {
    this->workers.erase(worker);
    std::vector<run_id> lost;
    for (const auto& [run, carrier] : this->runs) {
        if (carrier == worker) {
            lost.push_back(run);
        }
    }
    for (const run_id run : lost) {
        this->runs.erase(run);
    }
    return lost;
}

std::optional<instance_id> worker_pool::choose(const location& engine) const {
    if (this->local_runs < this->max_local_runs) {
        return std::nullopt;
    }
    std::optional<instance_id> best;
    std::size_t lowest_cost = std::numeric_limits<std::size_t>::max();
    for (const auto& [id, state] : this->workers) {
        const std::size_t cost = state.runs + distance_cost(state.place, engine);
        if (cost < lowest_cost) {
            lowest_cost = cost;
            best = id;
        }
    }
    return best;
}

void worker_pool::start(run_id run, const std::optional<instance_id>& worker) {
    this->runs.insert_or_assign(run, worker);
    if (worker) {
        ++this->workers[*worker].runs;
    } else {
        ++this->local_runs;
    }
}

void worker_pool::end(run_id run) {
    const auto found = this->runs.find(run);
    if (found == this->runs.end()) {
        return;
    }
    const std::optional<instance_id> worker = std::move(found->second);
    this->runs.erase(found);
    if (!worker) {
        --this->local_runs;
    } else if (const auto state = this->workers.find(*worker); state != this->workers.end()) {
        --state->second.runs;
    }
}

std::optional<instance_id> worker_pool::worker_of(run_id run) const {
    const auto found = this->runs.find(run);
    return found == this->runs.end() ? std::nullopt : found->second;
}

} // namespace kingcupcart::batch
