#pragma once

#include <compare>

namespace kingcupcart {

/// An amount in a unit. Amounts in different units are different types, which do not convert.
template <typename Unit, typename Number>
class quantity {
public:
    using number_type = Number;

    constexpr quantity() = default;
    constexpr explicit quantity(Number count) : amount(count) {}

    [[nodiscard]] constexpr Number count() const { return this->amount; }

    constexpr quantity& operator+=(quantity other) {
        this->amount += other.amount;
        return *this;
    }
    constexpr quantity& operator-=(quantity other) {
        this->amount -= other.amount;
        return *this;
    }
    friend constexpr quantity operator+(quantity a, quantity b) { return a += b; }
    friend constexpr quantity operator-(quantity a, quantity b) { return a -= b; }
    friend constexpr auto operator<=>(quantity, quantity) = default;

private:
    Number amount{};
};

} // namespace kingcupcart
