#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "permits/limit_statement.h"
#include "permits/limit_table.h"

#include <cstdint>

namespace kingcupcart::fleet {

/// The rates of requests that the targets of the fleet have named, as this instance knows them.
class target_limits {
public:
    explicit target_limits(const clock& time) : time(time) {}

    /// Records what a response of the target says. `sent_at` is when its request was sent.
    void record(const target_id& target, incarnation_id incarnation,
                const permits::limit_statement& statement, time_point sent_at);
    void target_changed(const target_id& target, incarnation_id incarnation);
    void target_removed(const target_id& target);

    [[nodiscard]] const permits::limit_table& table() const { return this->known; }
    /// Number of statements that could not be read.
    [[nodiscard]] std::uint64_t malformed_count() const { return this->malformed; }

private:
    const clock& time;
    permits::limit_table known;
    std::uint64_t malformed = 0;
    time_point malformed_logged_at{};
};

} // namespace kingcupcart::fleet
