#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace kingcupcart {

/// An identifier of one kind. Each kind is a type of its own, named by `Tag`, so that identifiers
/// of different kinds do not convert. `Value` is the representation: `std::string` or an integer.
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
