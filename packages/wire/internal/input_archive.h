#pragma once

#include "base/endpoint.h"
#include "base/quantity.h"
#include "base/strong_id.h"
#include "wire/internal/field_reader.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace kingcupcart::wire {

/// Reads the fields of described types in the order in which `field_writer` wrote them.
class field_taker {
public:
    explicit field_taker(field_reader& fields) : fields(fields) {}

    template <typename... Fields>
    void operator()(Fields&... each) {
        (this->take(each), ...);
    }

private:
    void take(bool& value) { value = this->fields.boolean(); }
    void take(std::string& value) { value = this->fields.binary(); }
    void take(endpoint& value) {
        this->take(value.address);
        this->take(value.port);
    }
    template <typename Number>
    requires(std::is_integral_v<Number> || std::is_enum_v<Number>) void take(Number& value) {
        value = static_cast<Number>(this->fields.number());
    }
    template <typename Tag, typename Value>
    void take(strong_id<Tag, Value>& id) {
        Value value{};
        this->take(value);
        id = strong_id<Tag, Value>(std::move(value));
    }
    template <typename Unit, typename Number>
    void take(quantity<Unit, Number>& amount) {
        Number value{};
        this->take(value);
        amount = quantity<Unit, Number>(value);
    }
    template <typename Rep, typename Period>
    void take(std::chrono::duration<Rep, Period>& time) {
        Rep value{};
        this->take(value);
        time = std::chrono::duration<Rep, Period>(value);
    }
    template <typename Clock, typename Duration>
    void take(std::chrono::time_point<Clock, Duration>& moment) {
        Duration since{};
        this->take(since);
        moment = std::chrono::time_point<Clock, Duration>(since);
    }
    template <typename Element>
    void take(std::vector<Element>& elements) {
        this->fields.each([&](field_reader& one) {
            field_taker nested(one);
            Element element;
            nested(element);
            elements.push_back(std::move(element));
        });
    }
    template <typename Described>
    requires requires(field_taker& archive, Described& value) { describe(archive, value); }
    void take(Described& value) { describe(*this, value); }

    field_reader& fields;
};

} // namespace kingcupcart::wire
