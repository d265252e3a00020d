#pragma once

#include "base/endpoint.h"
#include "base/quantity.h"
#include "base/request_fingerprint.h"
#include "base/strong_id.h"
#include "wire/internal/field_reader.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace kingcupcart::wire {

/// Loads the fields of serializable types, in the order in which `output_archive` saved them.
class input_archive {
public:
    explicit input_archive(field_reader& fields) : fields(fields) {}

    template <typename... Fields>
    void operator()(Fields&... values) {
        (this->load(values), ...);
    }

    /// Loads the status of a response.
    void http_status(int& status) { status = this->fields.http_status(); }

    /// Loads a last field that `output_archive::trailing` omits if it is empty.
    template <typename Field>
    void trailing(Field& value) {
        if (this->fields.has_more()) {
            this->load(value);
        }
    }

private:
    void load(bool& value) { value = this->fields.boolean(); }
    void load(std::string& value) { value = this->fields.binary(); }
    void load(endpoint& value) {
        this->load(value.address);
        this->load(value.port);
    }
    template <typename Number>
    requires(std::is_integral_v<Number> || std::is_enum_v<Number>) void load(Number& value) {
        value = static_cast<Number>(this->fields.number());
    }
    template <typename Tag, typename Value>
    void load(strong_id<Tag, Value>& id) {
        Value value{};
        this->load(value);
        id = strong_id<Tag, Value>(std::move(value));
    }
    template <typename Unit, typename Number>
    void load(quantity<Unit, Number>& amount) {
        Number value{};
        this->load(value);
        amount = quantity<Unit, Number>(value);
    }
    template <typename Rep, typename Period>
    void load(std::chrono::duration<Rep, Period>& time) {
        Rep value{};
        this->load(value);
        time = std::chrono::duration<Rep, Period>(value);
    }
    void load(request_fingerprint& value) {
        const std::uint64_t high = this->fields.number();
        value = request_fingerprint(high, this->fields.number());
    }
    template <typename Clock, typename Duration>
    void load(std::chrono::time_point<Clock, Duration>& moment) {
        Duration since_epoch{};
        this->load(since_epoch);
        moment = std::chrono::time_point<Clock, Duration>(since_epoch);
    }
    template <typename Element>
    void load(std::vector<Element>& elements) {
        this->fields.for_each([&](field_reader& element_fields) {
            input_archive nested(element_fields);
            Element element{};
            nested(element);
            elements.push_back(std::move(element));
        });
    }
    template <typename Content>
    void load(std::optional<Content>& value) {
        std::vector<Content> contents;
        this->load(contents);
        if (!contents.empty()) {
            value = std::move(contents.front());
        }
    }
    template <typename Serializable>
    requires requires(input_archive& archive, Serializable& value) { serialize(archive, value); }
    void load(Serializable& value) { serialize(*this, value); }

    field_reader& fields;
};

} // namespace kingcupcart::wire
