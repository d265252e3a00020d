#include "accounts/account_table.h"

#include <algorithm>

namespace kingcupcart::accounts {

namespace {

/// Index of the accounts or keys of a list by the position of the account that has them.
template <typename Id>
using positions = std::unordered_map<Id, std::size_t>;

bool has_control_characters(const std::string& text) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    return std::any_of(text.begin(), text.end(), [](unsigned char character) {
        return character < first_printable || character == delete_character;
    });
}

std::optional<account_problem> find_key_problem(const account& candidate, std::size_t position,
                                                positions<api_key>& seen) {
    for (std::size_t i = 0; i < candidate.keys.size(); ++i) {
        const api_key& key = candidate.keys[i];
        if (key.value().empty()) {
            return account_problem{account_problem_kind::empty_key, position, i, position};
        }
        if (key.value().size() > account_table::max_key_bytes) {
            return account_problem{account_problem_kind::long_key, position, i, position};
        }
        const auto [earlier, is_new] = seen.emplace(key, position);
        if (!is_new) {
            return account_problem{account_problem_kind::repeated_key, position, i,
                                   earlier->second};
        }
    }
    return std::nullopt;
}

} // namespace

std::variant<account_table, account_problem>
account_table::build(const std::vector<account>& accounts) {
    positions<account_name> names;
    positions<api_key> keys;
    account_table table;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const account& candidate = accounts[i];
        if (candidate.name.value().empty()) {
            return account_problem{account_problem_kind::empty_name, i, 0, i};
        }
        if (has_control_characters(candidate.name.value())) {
            return account_problem{account_problem_kind::unprintable_name, i, 0, i};
        }
        const auto [earlier, is_new] = names.emplace(candidate.name, i);
        if (!is_new) {
            return account_problem{account_problem_kind::repeated_name, i, 0, earlier->second};
        }
        if (const auto problem = find_key_problem(candidate, i, keys)) {
            return *problem;
        }
        table.entries.push_back({candidate.name, candidate.priority});
    }
    std::sort(table.entries.begin(), table.entries.end(),
              [](const entry& left, const entry& right) { return left.name < right.name; });
    for (std::size_t i = 0; i < table.entries.size(); ++i) {
        names.at(table.entries[i].name) = i;
    }
    table.accounts_by_key.reserve(keys.size());
    for (const auto& [key, position] : keys) {
        table.accounts_by_key.emplace(
            key, static_cast<std::uint32_t>(names.at(accounts[position].name)));
    }
    return table;
}

const account_name* account_table::find(const api_key& key) const {
    const auto found = this->accounts_by_key.find(key);
    return found == this->accounts_by_key.end() ? nullptr : &this->entries[found->second].name;
}

authorization account_table::authorize(key_rule rule, const credentials& stated) const {
    if (this->is_empty()) {
        return {};
    }
    authorization decision = this->check(stated);
    if (decision.result == access::denied && rule == key_rule::optional) {
        return {};
    }
    return decision;
}

authorization account_table::check(const credentials& stated) const {
    switch (stated.form) {
    case credentials_form::none:
        return {access::denied, {}, denial_reason::no_key};
    case credentials_form::repeated:
        return {access::denied, {}, denial_reason::repeated_credentials};
    case credentials_form::other_scheme:
        return {access::denied, {}, denial_reason::other_scheme};
    case credentials_form::key:
        break;
    }
    const account_name* owner = this->find(stated.key);
    if (owner == nullptr) {
        return {access::denied, {}, denial_reason::unknown_key};
    }
    return {access::granted, *owner, {}};
}

int account_table::priority_of(const account_name& name, int route_priority) const {
    const auto found = std::lower_bound(
        this->entries.begin(), this->entries.end(), name,
        [](const entry& candidate, const account_name& wanted) { return candidate.name < wanted; });
    if (found == this->entries.end() || found->name != name) {
        return route_priority;
    }
    return found->priority.value_or(route_priority);
}

} // namespace kingcupcart::accounts
