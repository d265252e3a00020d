#pragma once

#include <cstddef>

namespace kingcupcart::accounts {

enum class account_problem_kind {
    empty_name,
    /// The name contains control characters, which a header field can't hold.
    unprintable_name,
    repeated_name,
    empty_key,
    long_key,
    /// The key belongs to an earlier account too, or the account lists it twice.
    repeated_key
};

/// Why a list of accounts is not valid. Positions count from 0.
struct account_problem {
    account_problem_kind kind = account_problem_kind::empty_name;
    /// Position of the account.
    std::size_t account = 0;
    /// Position of the key in the account's list, where the problem concerns a key.
    std::size_t key = 0;
    /// Position of the earlier account that has the same name or key.
    std::size_t earlier_account = 0;
};

} // namespace kingcupcart::accounts
