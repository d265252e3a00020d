#pragma once

#include "base/endpoint.h"
#include "base/http_status.h"
#include "base/outcome.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace kingcupcart::wire {

/// Reads the fields of a CBOR array in order. A field that is missing, of a wrong type or out of
/// range reads as an empty value, and makes `finish` fail. `name` is that of the record, for
/// errors.
class field_reader {
public:
    field_reader(const nlohmann::json& fields, std::string name, std::size_t first = 0)
        : fields(fields), name(std::move(name)), next(first) {}

    std::string text() {
        const auto* field = this->next_field(&nlohmann::json::is_string);
        return field == nullptr ? std::string() : field->get<std::string>();
    }
    /// Reads a CBOR byte string, which need not be UTF-8.
    std::string binary() {
        const auto* field = this->next_field(&nlohmann::json::is_binary);
        if (field == nullptr) {
            return {};
        }
        const auto& content = field->get_binary();
        return {content.begin(), content.end()};
    }
    std::uint64_t number() {
        const auto* field = this->next_field(&nlohmann::json::is_number_unsigned);
        return field == nullptr ? 0 : field->get<std::uint64_t>();
    }
    /// Reads a number that is invalid above `max`.
    std::uint64_t number_up_to(std::uint64_t max) {
        const std::uint64_t value = this->number();
        if (value > max) {
            this->mark_invalid();
            return 0;
        }
        return value;
    }
    /// Reads a number that fits a non-negative `int`.
    int integer() {
        return static_cast<int>(
            this->number_up_to(static_cast<std::uint64_t>(std::numeric_limits<int>::max())));
    }
    /// Reads the status of a response.
    int http_status() {
        const int status = this->integer();
        if (!is_http_status(status)) {
            this->mark_invalid();
            return 0;
        }
        return status;
    }
    /// Reads the status of a response; 0 if there is none.
    int optional_http_status() {
        const int status = this->integer();
        if (status != 0 && !is_http_status(status)) {
            this->mark_invalid();
            return 0;
        }
        return status;
    }
    bool boolean() {
        const auto* field = this->next_field(&nlohmann::json::is_boolean);
        return field != nullptr && field->get<bool>();
    }
    /// Reads two fields: the IP address as text, and the port.
    endpoint address() {
        endpoint parsed;
        parsed.address = this->text();
        parsed.port = static_cast<std::uint16_t>(
            this->number_up_to(std::numeric_limits<std::uint16_t>::max()));
        return parsed;
    }
    /// Reads an array of arrays: calls `read_element` with a reader of each. It must read all
    /// fields of the element.
    template <typename Reader>
    void for_each(Reader read_element) {
        const auto* field = this->next_field(&nlohmann::json::is_array);
        if (field == nullptr) {
            return;
        }
        for (const auto& element : *field) {
            field_reader element_fields(element, this->name);
            if (!element.is_array()) {
                this->mark_invalid();
                return;
            }
            read_element(element_fields);
            if (element_fields.invalid_field != no_invalid_field ||
                element_fields.next != element.size()) {
                this->mark_invalid();
                return;
            }
        }
    }

    [[nodiscard]] bool has_more() const { return this->next < this->fields.size(); }

    /// Fails with `invalid_input` if a field was invalid or if fields are left unread.
    [[nodiscard]] outcome<void> finish() const {
        if (this->invalid_field != no_invalid_field) {
            return fail(error_code::invalid_input,
                        this->name + ": field " + std::to_string(this->invalid_field) +
                            " is missing, of a wrong type or out of range");
        }
        if (this->next != this->fields.size()) {
            return fail(error_code::invalid_input, this->name + ": too many fields");
        }
        return {};
    }

private:
    static constexpr std::size_t no_invalid_field = std::numeric_limits<std::size_t>::max();

    const nlohmann::json* next_field(bool (nlohmann::json::*has_type)() const noexcept) {
        const std::size_t position = this->next++;
        if (position >= this->fields.size() || !(this->fields[position].*has_type)()) {
            if (this->invalid_field == no_invalid_field) {
                this->invalid_field = position;
            }
            return nullptr;
        }
        return &this->fields[position];
    }
    void mark_invalid() {
        if (this->invalid_field == no_invalid_field) {
            this->invalid_field = this->next - 1;
        }
    }

    const nlohmann::json& fields;
    std::string name;
    std::size_t next;
    std::size_t invalid_field = no_invalid_field;
};

} // namespace kingcupcart::wire
