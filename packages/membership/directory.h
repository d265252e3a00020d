#pragma once

#include "base/clock.h"
#include "membership/directory_change.h"
#include "membership/lease_scope.h"
#include "membership/target_record.h"

#include <cstddef>
#include <map>
#include <vector>

namespace kingcupcart::membership {

/// The targets that one instance knows. Targets announce themselves to any instance of their
/// domain, which vouches for them to the others; between domains only changes travel.
class directory {
public:
    explicit directory(location here, lease_scope scope = lease_scope::own_domain)
        : here(std::move(here)), scope(scope) {}

    /// A target announced itself to this instance; the lease runs from now.
    directory_change announce(const target_record& record, duration lease, time_point now);
    /// Another instance passed a record on. A record of this domain lives for `lease` unless it is
    /// vouched for again; one of another domain lives until it is said to be gone.
    directory_change learn(const target_record& record, duration lease, time_point now);
    /// Another instance still hears from the target.
    void renew(const target_id& target, duration lease, time_point now);
    /// Takes out what has not been heard of in time.
    [[nodiscard]] std::vector<directory_change> expire(time_point now);

    /// Living targets.
    [[nodiscard]] std::vector<target_record> records() const;
    /// Living targets that announced themselves here and whose lease runs.
    [[nodiscard]] std::vector<target_id> locally_announced() const;
    [[nodiscard]] const target_record* find(const target_id& target) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        target_record record;
        time_point expires;
        bool announced_here = false;
    };

    directory_change replace(entry& current, const target_record& record, time_point expires);
    directory_change refresh(entry& current, time_point expires);

    location here;
    lease_scope scope;
    std::map<target_id, entry> entries;
};

} // namespace kingcupcart::membership
