#pragma once

#include "batch/internal/account_share.h"

#include <cstddef>

namespace kingcupcart::batch {

/// Slots that the runs of one trainer use: those of an account for one model.
struct trainer_share {
    account_share* account = nullptr;
    std::size_t running = 0;
};

} // namespace kingcupcart::batch
