#pragma once

#include "base/ids.h"
#include "quorum/member.h"

#include <optional>

namespace kingcupcart::gateway {

/// The leader of the stores, by what the stores report. A store that has lost contact with the
/// group may report an outdated leader, after the others have reported the current one.
class leading_store {
public:
    enum class effect {
        none,
        changed,
        /// The reported leader is of an earlier term than the known one.
        outdated
    };

    /// `leader` is empty if the store knows none; `term` is that of the store, if it states one.
    effect update(const instance_id& store, const instance_id& leader,
                  std::optional<quorum::term_number> term);
    /// The link to the store was lost. Returns whether it was the leader.
    bool lose(const instance_id& store);

    [[nodiscard]] bool is_known() const { return !this->leader.value().empty(); }
    /// Empty while no leader is known.
    [[nodiscard]] const instance_id& id() const { return this->leader; }

private:
    instance_id leader;
    /// The latest term that was stated for the known leader, if any was.
    std::optional<quorum::term_number> leader_term;
};

} // namespace kingcupcart::gateway
