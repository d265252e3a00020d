#pragma once

#include "accounts/api_key.h"

namespace kingcupcart::accounts {

enum class credentials_form {
    /// The request states no credentials.
    none,
    /// The request states one key.
    key,
    /// The request states credentials more than once.
    repeated,
    /// The request states credentials of an unsupported scheme.
    other_scheme
};

/// What a request states about its caller's account.
struct credentials {
    credentials_form form = credentials_form::none;
    /// Set if `form` is `key`.
    api_key key;
};

} // namespace kingcupcart::accounts
