#pragma once

namespace kingcupcart::membership {

/// Whose records expire where nobody vouches for them.
enum class lease_scope {
    /// Those of the own failure domain; others live until they are said to be gone.
    own_domain,
    all_domains
};

} // namespace kingcupcart::membership
