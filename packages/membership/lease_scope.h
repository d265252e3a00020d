#pragma once

namespace kingcupcart::membership {

/// Which records expire unless a heartbeat renews their lease.
enum class lease_scope {
    /// Records of the local failure domain; others stay until an update marks them as gone.
    own_domain,
    all_domains
};

} // namespace kingcupcart::membership
