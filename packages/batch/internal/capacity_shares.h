#pragma once

#include "base/ids.h"
#include "batch/scheduler_messages.h"

#include <cstddef>
#include <map>

namespace kingcupcart::batch {

/// Whether slots suffice for all groups to meet their due times.
enum class capacity { sufficient, short_of_demand };

/// Slots that the runs of an account use.
struct account_share {
    std::size_t running = 0;
    /// An account of a lower weight counts as using more.
    double weight = 1;

    [[nodiscard]] double use() const { return static_cast<double>(this->running) / this->weight; }
};

/// Slots that the runs of one trainer use: those of an account for one model.
struct trainer_share {
    account_share* account = nullptr;
    std::size_t running = 0;
};

/// Slots in use by accounts and trainers.
///
/// Load pattern: one account submits many times its usual work. By due time alone, it gets slots in
/// proportion to what it asks for, and the groups of the small accounts are late with its own.
class capacity_shares {
public:
    /// The share of the job's trainer. The reference stays valid.
    [[nodiscard]] trainer_share& share_of(const job_opened& job);
    void run_started(trainer_share& share);
    void run_ended(trainer_share& share);

    /// Number of runs of all accounts.
    [[nodiscard]] std::size_t running() const { return this->total; }

private:
    std::map<account_name, account_share> accounts;
    std::map<account_name, std::map<model_name, trainer_share>> trainers;
    std::size_t total = 0;
};

} // namespace kingcupcart::batch
