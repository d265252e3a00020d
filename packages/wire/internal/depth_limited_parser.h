#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace kingcupcart::wire {

/// Builds a JSON value from the events of the CBOR parser, which recurses for each nested array,
/// and stops parsing if arrays nest deeper than `max_depth`. Objects are rejected: no encoding has
/// any.
class depth_limited_parser {
public:
    using json = nlohmann::json;

    explicit depth_limited_parser(json& result) : builder(result, false) {}

    bool null() { return this->builder.null(); }
    bool boolean(bool value) { return this->builder.boolean(value); }
    bool number_integer(json::number_integer_t value) {
        return this->builder.number_integer(value);
    }
    bool number_unsigned(json::number_unsigned_t value) {
        return this->builder.number_unsigned(value);
    }
    bool number_float(json::number_float_t value, const std::string& text) {
        return this->builder.number_float(value, text);
    }
    bool string(std::string& value) { return this->builder.string(value); }
    bool binary(json::binary_t& value) { return this->builder.binary(value); }
    bool start_object(std::size_t /*size*/) { return false; }
    bool key(std::string& /*name*/) { return false; }
    bool end_object() { return false; }
    bool start_array(std::size_t size) {
        return ++this->depth <= max_depth && this->builder.start_array(size);
    }
    bool end_array() {
        --this->depth;
        return this->builder.end_array();
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const json::exception& /*cause*/) {
        return false;
    }

private:
    static constexpr int max_depth = 8;

    nlohmann::detail::json_sax_dom_parser<json> builder;
    int depth = 0;
};

} // namespace kingcupcart::wire
