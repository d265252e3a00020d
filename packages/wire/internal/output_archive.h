#pragma once

#include "base/endpoint.h"
#include "base/quantity.h"
#include "base/request_fingerprint.h"
#include "base/strong_id.h"
#include "wire/internal/quorum_fields.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace kingcupcart::wire {

/// Saves the fields of serializable types in order; `input_archive` loads them. A type is
/// serializable if a function `serialize(archive, value)` passes its fields to the archive. Both
/// archives use the same function, so that the encodings of both directions agree.
class output_archive {
public:
    explicit output_archive(nlohmann::json& fields) : fields(fields) {}

    template <typename... Fields>
    void operator()(const Fields&... values) {
        (this->save(values), ...);
    }

    void http_status(int status) { this->save(status); }

    /// Saves the last field of a record or of a vector's element unless it is empty. Records
    /// without it are thus the same as before the field was added.
    template <typename Field>
    void trailing(const Field& value) {
        if (value != Field{}) {
            this->save(value);
        }
    }

private:
    void save(bool value) { this->fields.push_back(value); }
    void save(const std::string& value) { this->fields.push_back(write_bytes(value)); }
    void save(const endpoint& value) {
        this->save(value.address);
        this->save(value.port);
    }
    template <typename Number>
    requires(std::is_integral_v<Number> || std::is_enum_v<Number>) void save(Number value) {
        this->fields.push_back(static_cast<std::uint64_t>(value));
    }
    template <typename Tag, typename Value>
    void save(const strong_id<Tag, Value>& id) {
        this->save(id.value());
    }
    template <typename Unit, typename Number>
    void save(const quantity<Unit, Number>& amount) {
        this->save(amount.count());
    }
    template <typename Rep, typename Period>
    void save(const std::chrono::duration<Rep, Period>& time) {
        this->save(time.count());
    }
    void save(const request_fingerprint& value) {
        this->save(value.high());
        this->save(value.low());
    }
    template <typename Clock, typename Duration>
    void save(const std::chrono::time_point<Clock, Duration>& moment) {
        this->save(moment.time_since_epoch());
    }
    template <typename Element>
    void save(const std::vector<Element>& elements) {
        nlohmann::json element_arrays = nlohmann::json::array();
        for (const Element& element : elements) {
            nlohmann::json element_fields = nlohmann::json::array();
            output_archive nested(element_fields);
            nested(element);
            element_arrays.push_back(std::move(element_fields));
        }
        this->fields.push_back(std::move(element_arrays));
    }
    template <typename Content>
    void save(const std::optional<Content>& value) {
        this->save(value ? std::vector<Content>{*value} : std::vector<Content>{});
    }
    template <typename Serializable>
    requires requires(output_archive& archive, Serializable& value) { serialize(archive, value); }
    void save(const Serializable& value) {
        // `serialize` takes a mutable reference for `input_archive`; this archive only reads.
        serialize(*this, const_cast<Serializable&>(value));
    }

    nlohmann::json& fields;
};

} // namespace kingcupcart::wire
