#pragma once

#include "base/error.h"

#include <boost/leaf.hpp>

#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace kingcupcart {

/// A value or an `error`. Functions report expected failures this way and never throw for them.
template <typename Value>
using outcome = boost::leaf::result<Value>;

/// Makes a failed outcome.
inline boost::leaf::error_id fail(error_code code, std::string message) {
    return boost::leaf::new_error(error{code, std::move(message)});
}

/// The type of the value in an `outcome`.
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

/// Runs `attempt` and returns its value, or the error it failed with.
template <typename Attempt>
auto value_or_error(Attempt&& attempt) {
    using attempt_result = std::decay_t<decltype(attempt())>;
    using value_type = typename outcome_value<attempt_result>::type;
    using either = std::variant<value_type, error>;
    return boost::leaf::try_handle_all(
        [&]() -> outcome<either> {
            auto result = attempt();
            if (!result) {
                return result.error();
            }
            if constexpr (std::is_same_v<attempt_result, outcome<void>>) {
                return either{std::monostate{}};
            } else {
                return either{std::move(*result)};
            }
        },
        [](const error& failure) { return either{failure}; },
        [] {
            return either{error{error_code::internal, "unspecified failure"}};
        });
}

} // namespace kingcupcart
