#include "batch/internal/capacity_shares.h"

#include <algorithm>

namespace kingcupcart::batch {

trainer_share& capacity_shares::share_of(const job_opened& job) {
    account_share& account = this->accounts[job.account];
    // Each step of priority takes a smaller part, and none takes all.
    account.weight = 1.0 / (1 + std::max(0, job.priority));
    trainer_share& share = this->trainers[job.account][job.model];
    share.account = &account;
    return share;
}

void capacity_shares::run_started(trainer_share& share) {
    ++share.running;
    ++share.account->running;
    ++this->total;
}

void capacity_shares::run_ended(trainer_share& share) {
    --share.running;
    --share.account->running;
    --this->total;
}

} // namespace kingcupcart::batch
