#pragma once

#include "base/endpoint.h"
#include "base/quantity.h"
#include "base/strong_id.h"
#include "wire/internal/quorum_fields.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace kingcupcart::wire {

/// Writes the fields of described types in order; `field_taker` reads them back. A type is
/// described by one function `describe(archive, value)` that names its fields, so that both sides
/// agree.
class field_writer {
public:
    explicit field_writer(nlohmann::json& fields) : fields(fields) {}

    template <typename... Fields>
    void operator()(const Fields&... each) {
        (this->put(each), ...);
    }

private:
    void put(bool value) { this->fields.push_back(value); }
    void put(const std::string& value) { this->fields.push_back(write_bytes(value)); }
    void put(const endpoint& value) {
        this->put(value.address);
        this->put(value.port);
    }
    template <typename Number>
    requires(std::is_integral_v<Number> || std::is_enum_v<Number>) void put(Number value) {
        this->fields.push_back(static_cast<std::uint64_t>(value));
    }
    template <typename Tag, typename Value>
    void put(const strong_id<Tag, Value>& id) {
        this->put(id.value());
    }
    template <typename Unit, typename Number>
    void put(const quantity<Unit, Number>& amount) {
        this->put(amount.count());
    }
    template <typename Rep, typename Period>
    void put(const std::chrono::duration<Rep, Period>& time) {
        this->put(time.count());
    }
    template <typename Clock, typename Duration>
    void put(const std::chrono::time_point<Clock, Duration>& moment) {
        this->put(moment.time_since_epoch());
    }
    template <typename Element>
    void put(const std::vector<Element>& elements) {
        nlohmann::json written = nlohmann::json::array();
        for (const Element& element : elements) {
            nlohmann::json one = nlohmann::json::array();
            field_writer nested(one);
            nested(element);
            written.push_back(std::move(one));
        }
        this->fields.push_back(std::move(written));
    }
    template <typename Described>
    requires requires(field_writer& archive, Described& value) { describe(archive, value); }
    void put(const Described& value) {
        // Only named, not changed: one description serves both directions.
        describe(*this, const_cast<Described&>(value));
    }

    nlohmann::json& fields;
};

} // namespace kingcupcart::wire
