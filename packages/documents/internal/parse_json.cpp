#include "documents/parse_json.h"

#include <string>
#include <utility>
#include <variant>

namespace kingcupcart::documents {

namespace {

using nlohmann::json;

/// Builds a JSON value from the events of the parser, and stops it where arrays and objects nest
/// too deep.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json> {
public:
    using base = nlohmann::detail::json_sax_dom_parser<json>;

    explicit bounded_builder(json& result) : base(result, false) {}

    bool start_object(std::size_t size) { return this->enter() && base::start_object(size); }
    bool end_object() { return this->leave() && base::end_object(); }
    bool start_array(std::size_t size) { return this->enter() && base::start_array(size); }
    bool end_array() { return this->leave() && base::end_array(); }

    bool parse_error(std::size_t position, const std::string& /*token*/,
                     const json::exception& /*cause*/) {
        this->problem = "malformed JSON at byte " + std::to_string(position);
        return false;
    }

    std::string problem;

private:
    bool enter() {
        if (++this->depth <= max_nesting) {
            return true;
        }
        this->problem = "nested deeper than " + std::to_string(max_nesting) + " levels";
        return false;
    }
    bool leave() {
        --this->depth;
        return true;
    }

    std::size_t depth = 0;
};

} // namespace

outcome<json> parse_json(std::string_view text) {
    json parsed;
    bounded_builder builder(parsed);
    if (!json::sax_parse(text.begin(), text.end(), &builder)) {
        return fail(error_code::invalid_input, builder.problem);
    }
    return outcome<json>(std::move(parsed));
}

json parse_json_or_discard(std::string_view text) {
    auto result = value_or_error([&] { return parse_json(text); });
    auto* parsed = std::get_if<json>(&result);
    return parsed == nullptr ? json(json::value_t::discarded) : std::move(*parsed);
}

} // namespace kingcupcart::documents
