#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace kingcupcart {

/// An identifier that cannot be mixed up with another kind of identifier.
/// `Tag` tells the kinds apart; `Value` is the representation (std::string or an integer).
template <typename Tag, typename Value>
class strong_id {
public:
    using value_type = Value;

    strong_id() = default;
    explicit strong_id(Value value) : representation(std::move(value)) {}

    [[nodiscard]] const Value& value() const { return this->representation; }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    Value representation{};
};

} // namespace kingcupcart

template <typename Tag, typename Value>
struct std::hash<kingcupcart::strong_id<Tag, Value>> {
    std::size_t operator()(const kingcupcart::strong_id<Tag, Value>& id) const noexcept {
        return std::hash<Value>{}(id.value());
    }
};
