#pragma once

#include "accounts/account.h"
#include "accounts/account_problem.h"
#include "accounts/api_key.h"
#include "accounts/authorization.h"
#include "accounts/credentials.h"
#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace kingcupcart::accounts {

/// The client accounts of a configuration, indexed by their keys. Without accounts every request
/// is permitted, and none belongs to an account.
class account_table {
public:
    /// Limit of a key's length, in bytes.
    static constexpr std::size_t max_key_bytes = 256;

    account_table() = default;
    /// Returns the first problem in the order of the list if the accounts are not valid.
    static std::variant<account_table, account_problem> build(const std::vector<account>& accounts);

    /// Whether the configuration has no accounts.
    [[nodiscard]] bool is_empty() const { return this->entries.empty(); }
    [[nodiscard]] std::size_t account_count() const { return this->entries.size(); }
    [[nodiscard]] std::size_t key_count() const { return this->accounts_by_key.size(); }

    /// The account that the key belongs to; null if there is none.
    [[nodiscard]] const account_name* find(const api_key& key) const;
    /// A request to which `key_rule::optional` applies is never denied: credentials that name no
    /// account count as none.
    [[nodiscard]] authorization authorize(key_rule rule, const credentials& stated) const;
    /// The priority of the account's requests on a route: the account's own, if it has one.
    [[nodiscard]] int priority_of(const account_name& name, int route_priority) const;

private:
    struct entry {
        account_name name;
        std::optional<int> priority;
    };

    [[nodiscard]] authorization check(const credentials& stated) const;

    /// Sorted by name.
    std::vector<entry> entries;
    /// Positions in `entries`.
    std::unordered_map<api_key, std::uint32_t> accounts_by_key;
};

} // namespace kingcupcart::accounts
