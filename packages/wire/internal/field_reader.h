#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace kingcupcart::wire {

/// Reads the fields of a CBOR array in order. The first field that is missing or of a wrong type is
/// remembered; later reads give empty values, and `finish` fails.
class field_reader {
public:
    field_reader(const nlohmann::json& fields, std::string name, std::size_t first = 0)
        : fields(fields), name(std::move(name)), next(first) {}

    std::string text() {
        const auto* field = this->take(&nlohmann::json::is_string);
        return field == nullptr ? std::string() : field->get<std::string>();
    }
    /// A CBOR byte string: content that need not be UTF-8.
    std::string binary() {
        const auto* field = this->take(&nlohmann::json::is_binary);
        if (field == nullptr) {
            return {};
        }
        const auto& content = field->get_binary();
        return {content.begin(), content.end()};
    }
    std::uint64_t number() {
        const auto* field = this->take(&nlohmann::json::is_number_unsigned);
        return field == nullptr ? 0 : field->get<std::uint64_t>();
    }
    std::uint64_t number_up_to(std::uint64_t most) {
        const std::uint64_t value = this->number();
        if (value > most) {
            this->mark_bad();
            return 0;
        }
        return value;
    }
    int integer() {
        return static_cast<int>(
            this->number_up_to(static_cast<std::uint64_t>(std::numeric_limits<int>::max())));
    }
    bool boolean() {
        const auto* field = this->take(&nlohmann::json::is_boolean);
        return field != nullptr && field->get<bool>();
    }
    endpoint address() {
        endpoint read;
        read.address = this->text();
        read.port = static_cast<std::uint16_t>(
            this->number_up_to(std::numeric_limits<std::uint16_t>::max()));
        return read;
    }
    /// An array whose elements `read_element` takes.
    template <typename Reader>
    void each(Reader read_element) {
        const auto* field = this->take(&nlohmann::json::is_array);
        if (field == nullptr) {
            return;
        }
        for (const auto& element : *field) {
            field_reader elements(element, this->name);
            if (!element.is_array()) {
                this->mark_bad();
                return;
            }
            read_element(elements);
            if (elements.bad_field != no_field || elements.next != element.size()) {
                this->mark_bad();
                return;
            }
        }
    }

    [[nodiscard]] outcome<void> finish() const {
        if (this->bad_field != no_field) {
            return fail(error_code::invalid_input, this->name + ": field " +
                                                       std::to_string(this->bad_field) +
                                                       " is missing or of a wrong type or range");
        }
        if (this->next != this->fields.size()) {
            return fail(error_code::invalid_input, this->name + ": has too many fields");
        }
        return {};
    }

private:
    static constexpr std::size_t no_field = std::numeric_limits<std::size_t>::max();

    const nlohmann::json* take(bool (nlohmann::json::*is_right)() const noexcept) {
        const std::size_t position = this->next++;
        if (position >= this->fields.size() || !(this->fields[position].*is_right)()) {
            if (this->bad_field == no_field) {
                this->bad_field = position;
            }
            return nullptr;
        }
        return &this->fields[position];
    }
    void mark_bad() {
        if (this->bad_field == no_field) {
            this->bad_field = this->next - 1;
        }
    }

    const nlohmann::json& fields;
    std::string name;
    std::size_t next;
    std::size_t bad_field = no_field;
};

} // namespace kingcupcart::wire
