#pragma once

#include "base/ids.h"
#include "base/location.h"
#include "batch/run_id.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kingcupcart::batch {

/// Chooses the store that carries out a run: the leader itself, or another store that sends the
/// request and reads the stream for it.
///
/// Answers this load pattern: a wave of hundreds of items, whose starts and events take more
/// processor time than one store has. Few runs stay with the leader, since another store costs a
/// hop; beyond that they go to the store with the fewest runs, preferably near the engine.
class worker_pool {
public:
    /// `max_local_runs` is the number of runs that the leader carries out itself.
    explicit worker_pool(std::size_t max_local_runs) : max_local_runs(max_local_runs) {}

    void add(const instance_id& worker, const location& place);
    /// Returns the runs that are lost with the worker.
    std::vector<run_id> remove(const instance_id& worker);
    /// Empty if the leader is to carry out the run itself.
    [[nodiscard]] std::optional<instance_id> choose(const location& engine) const;
    void start(run_id run, const std::optional<instance_id>& worker);
    void end(run_id run);
    /// Empty if the leader carries out the run, or the run is unknown.
    [[nodiscard]] std::optional<instance_id> worker_of(run_id run) const;

private:
    struct worker_state {
        location place;
        std::size_t runs = 0;
    };

    std::size_t max_local_runs;
    std::size_t local_runs = 0;
    std::map<instance_id, worker_state> workers;
    std::unordered_map<run_id, std::optional<instance_id>> runs;
};

} // namespace kingcupcart::batch
