#pragma once

#include "base/ids.h"
#include "permits/limit_statement.h"
#include "permits/target_limit.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace kingcupcart::permits {

/// How a statement changed the limit that is known of its target.
enum class limit_change { none, begun, changed, ended };

[[nodiscard]] const char* to_string(limit_change change);

/// The limits that targets have named. The latest statement of the latest incarnation holds until
/// another one replaces it: a limit doesn't expire by itself.
class limit_table {
public:
    /// Ignores statements that are older than the known one.
    limit_change apply(const target_limit& stated);
    /// What a response states of the target's limit; empty if the response changes nothing.
    /// `sent_at` is when its request was sent.
    [[nodiscard]] std::optional<target_limit> read(const target_id& target,
                                                   incarnation_id incarnation,
                                                   const limit_statement& statement,
                                                   time_point sent_at) const;
    /// Drops what another incarnation of the target has stated.
    void set_incarnation(const target_id& target, incarnation_id incarnation);
    void remove(const target_id& target) { this->entries.erase(target); }

    /// Null if the target has no limit.
    [[nodiscard]] const target_limit* find(const target_id& target) const;
    /// The limits of all targets that have one.
    [[nodiscard]] std::vector<target_limit> limits() const;
    [[nodiscard]] bool empty() const { return this->entries.empty(); }

private:
    /// Contains targets whose limit has ended, too, so that an older statement can't restore it.
    std::map<target_id, target_limit> entries;
};

} // namespace kingcupcart::permits
