#pragma once

#include "base/ids.h"
#include "batch/internal/account_share.h"
#include "batch/internal/trainer_share.h"
#include "batch/scheduler_messages.h"

#include <cstddef>
#include <map>

namespace kingcupcart::batch {

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
