#pragma once

#include "base/ids.h"

namespace kingcupcart::accounts {

/// Whether requests have to state a key.
enum class key_rule { required, optional };

enum class access {
    /// The request's key belongs to an account.
    granted,
    /// The request needs no account and states none.
    anonymous,
    denied
};

/// Why a request is denied.
enum class denial_reason { no_key, repeated_credentials, other_scheme, unknown_key };

[[nodiscard]] inline const char* to_string(denial_reason reason) {
    switch (reason) {
    case denial_reason::no_key:
        return "no-key";
    case denial_reason::repeated_credentials:
        return "repeated-credentials";
    case denial_reason::other_scheme:
        return "other-scheme";
    case denial_reason::unknown_key:
        return "unknown-key";
    }
    return "?";
}

/// The decision on the credentials of a request.
struct authorization {
    access result = access::anonymous;
    /// Set if access is granted.
    account_name account;
    /// Set if access is denied.
    denial_reason reason = denial_reason::no_key;
};

} // namespace kingcupcart::accounts
