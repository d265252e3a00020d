#include "wire/revision.h"

#include "base/ids.h"

namespace kingcupcart::wire {

namespace {

/// The message's account; null if messages of the type have none.
account_name* find_account(message& candidate) {
    return std::visit(
        [](auto& alternative) -> account_name* {
            if constexpr (requires { alternative.account; }) {
                return &alternative.account;
            } else if constexpr (requires { alternative.job.account; }) {
                return &alternative.job.account;
            } else {
                return nullptr;
            }
        },
        candidate);
}

} // namespace

std::optional<message> reduced_for(std::uint16_t revision, const message& outgoing) {
    if (revision >= accounts_revision) {
        return std::nullopt;
    }
    message reduced = outgoing;
    account_name* account = find_account(reduced);
    if (account == nullptr || account->value().empty()) {
        return std::nullopt;
    }
    *account = account_name();
    return reduced;
}

} // namespace kingcupcart::wire
