#pragma once

#include "base/error.h"

#include <boost/leaf.hpp>

#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace kingcupcart {

/// A value or an `error`. Functions return expected failures this way and never throw them.
template <typename Value>
using outcome = boost::leaf::result<Value>;

/// Returns an error that converts to a failed `outcome`.
inline boost::leaf::error_id fail(error_code code, std::string message) {
    return boost::leaf::new_error(error{code, std::move(message)});
}

/// The value type of an `outcome`; `std::monostate` for `outcome<void>`.
template <typename Outcome>
struct outcome_value;

template <typename Value>
struct outcome_value<outcome<Value>> {
    using type = Value;
};

template <>
struct outcome_value<outcome<void>> {
    using type = std::monostate;
};

/// Calls `operation`, and returns its value or error as a `std::variant`.
template <typename Operation>
auto value_or_error(Operation&& operation) {
    using operation_result = std::decay_t<decltype(operation())>;
    using value_type = typename outcome_value<operation_result>::type;
    using value_or_failure = std::variant<value_type, error>;
    return boost::leaf::try_handle_all(
        [&]() -> outcome<value_or_failure> {
            auto result = operation();
            if (!result) {
                return result.error();
            }
            if constexpr (std::is_same_v<operation_result, outcome<void>>) {
                return value_or_failure{std::monostate{}};
            } else {
                return value_or_failure{std::move(*result)};
            }
        },
        [](const error& failure) { return value_or_failure{failure}; },
        [] {
            return value_or_failure{error{error_code::internal, "unspecified failure"}};
        });
}

} // namespace kingcupcart
