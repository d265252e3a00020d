#pragma once

#include "base/clock.h"
#include "membership/directory_change.h"
#include "membership/lease_scope.h"
#include "membership/target_record.h"

#include <cstddef>
#include <map>
#include <vector>

namespace kingcupcart::membership {

/// The targets that are known to one instance. A target announces itself to any instance of its
/// failure domain, which relays its heartbeats to the other instances of the domain; instances of
/// other domains receive only changes.
class directory {
public:
    explicit directory(location local_location, lease_scope scope = lease_scope::own_domain)
        : local_location(std::move(local_location)), scope(scope) {}

    /// Records that a target announced itself to this instance; the lease starts now.
    directory_change announce(const target_record& record, duration lease, time_point now);
    /// Applies a record that another instance sent. A record of this domain expires after `lease`
    /// unless it is renewed; a record of another domain stays until an update marks it as gone.
    /// With `lease_scope::all_domains` every record expires.
    directory_change apply_update(const target_record& record, duration lease, time_point now);
    /// Marks the present record of a target as leaving, without a new announcement: a newer record
    /// replaces the mark. The change is stale if there is no such target or it is leaving already.
    directory_change mark_leaving(const target_id& target);
    /// Extends the lease of a target whose heartbeat another instance relayed.
    void renew(const target_id& target, duration lease, time_point now);
    /// Marks targets whose lease has expired as gone, and drops the records of targets that
    /// have been gone for a long time. Returns the changes of the targets that were removed.
    [[nodiscard]] std::vector<directory_change> expire(time_point now);

    /// The records of all targets that are not gone.
    [[nodiscard]] std::vector<target_record> records() const;
    /// The same with the records that are kept of targets that are gone, for an instance that may
    /// have missed their removal.
    [[nodiscard]] std::vector<target_record> records_with_removed() const;
    /// The targets that announced themselves to this instance and are not gone.
    [[nodiscard]] std::vector<target_id> locally_announced() const;
    /// The record of a target; null if it is unknown or gone.
    [[nodiscard]] const target_record* find(const target_id& target) const;
    /// Number of targets that are not gone.
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        target_record record;
        time_point expires;
        bool is_locally_announced = false;
    };

    directory_change replace(entry& current, const target_record& record, time_point expires);
    directory_change refresh(entry& current, time_point expires);

    location local_location;
    lease_scope scope;
    std::map<target_id, entry> entries;
};

} // namespace kingcupcart::membership
