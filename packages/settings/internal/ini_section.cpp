#include "settings/ini_section.h"

#include "settings/ini_document.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace kingcupcart::settings {

namespace {

struct time_unit {
    const char* name;
    duration length;
};

constexpr std::array<time_unit, 6> time_units{{{"us", std::chrono::microseconds(1)},
                                               {"ms", std::chrono::milliseconds(1)},
                                               {"s", std::chrono::seconds(1)},
                                               {"min", std::chrono::minutes(1)},
                                               {"h", std::chrono::hours(1)},
                                               {"d", std::chrono::hours(24)}}};

std::optional<std::int64_t> parse_integer(const std::string& text) {
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc{} || stop != end || text.empty()) {
        return std::nullopt;
    }
    return number;
}

/// Parses a number with an optional decimal fraction, in units of `unit`.
std::optional<duration> parse_multiple(const std::string& text, duration unit) {
    const auto point = text.find('.');
    const auto whole = parse_integer(text.substr(0, point));
    if (!whole || *whole >= duration::max().count() / unit.count()) {
        return std::nullopt;
    }
    duration multiple = unit * *whole;
    if (point == std::string::npos) {
        return multiple;
    }
    const std::string fraction = text.substr(point + 1);
    if (fraction.empty() || fraction.find('.') != std::string::npos) {
        return std::nullopt;
    }
    duration place = unit;
    for (const char digit : fraction) {
        place /= 10;
        multiple += place * (digit - '0');
    }
    return multiple;
}

std::optional<duration> parse_duration(const std::string& text) {
    const auto digits_end = text.find_first_not_of("0123456789.");
    if (digits_end == 0 || digits_end == std::string::npos) {
        return std::nullopt;
    }
    const auto unit_begin = text.find_first_not_of(' ', digits_end);
    const std::string unit =
        text.substr(unit_begin == std::string::npos ? text.size() : unit_begin);
    const auto match =
        std::find_if(time_units.begin(), time_units.end(),
                     [&](const time_unit& candidate) { return unit == candidate.name; });
    if (match == time_units.end()) {
        return std::nullopt;
    }
    return parse_multiple(text.substr(0, digits_end), match->length);
}

std::string format_duration(duration value) {
    const time_unit* unit_to_print = &time_units.front();
    for (const time_unit& unit : time_units) {
        if (value >= unit.length && value % unit.length == duration::zero()) {
            unit_to_print = &unit;
        }
    }
    return std::to_string(value / unit_to_print->length) + unit_to_print->name;
}

std::string comma_separated(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

} // namespace

ini_section::ini_section(const ini_document& document, std::string group)
    : document(&document), group(std::move(group)) {}

bool ini_section::has(const std::string& key) const {
    return this->document->value(this->group, key).has_value();
}

std::optional<std::string> ini_section::read_value(const std::string& key) {
    this->requested_keys.insert(key);
    return this->document->value(this->group, key);
}

boost::leaf::error_id ini_section::fail_at(const std::string& key,
                                           const std::string& message) const {
    return fail(error_code::invalid_input,
                this->document->location_of(this->group, key) + ": " + message);
}

outcome<std::string> ini_section::text(const std::string& key) {
    const auto value = this->read_value(key);
    if (!value || value->empty()) {
        return this->fail_at(key, "is required and must not be empty");
    }
    return *value;
}

outcome<std::string> ini_section::text_or(const std::string& key, const std::string& fallback) {
    return this->read_value(key).value_or(fallback);
}

outcome<std::string> ini_section::choice_or(const std::string& key, const std::string& fallback,
                                            const std::vector<std::string>& allowed) {
    std::string value = this->read_value(key).value_or(fallback);
    if (std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
        return this->fail_at(key, "'" + value + "' is not one of " + comma_separated(allowed));
    }
    return value;
}

outcome<std::int64_t> ini_section::integer_or(const std::string& key, std::int64_t fallback,
                                              integer_range range) {
    const auto value = this->read_value(key);
    if (!value) {
        return fallback;
    }
    const auto number = parse_integer(*value);
    if (!number || *number < range.minimum || *number > range.maximum) {
        return this->fail_at(key, "'" + *value + "' is not a whole number from " +
                                      std::to_string(range.minimum) + " to " +
                                      std::to_string(range.maximum));
    }
    return *number;
}

outcome<double> ini_section::decimal_or(const std::string& key, double fallback,
                                        decimal_range range) {
    const auto value = this->read_value(key);
    if (!value) {
        return fallback;
    }
    double number = 0;
    const char* last = value->data() + value->size();
    const auto [end, problem] =
        std::from_chars(value->data(), last, number, std::chars_format::fixed);
    // A comparison with NaN is false.
    const bool is_in_range = number >= range.minimum && number <= range.maximum;
    if (problem != std::errc{} || end != last || !is_in_range) {
        std::ostringstream message;
        message << '\'' << *value << "' is not a number from " << range.minimum << " to "
                << range.maximum;
        return this->fail_at(key, message.str());
    }
    return number;
}

outcome<bool> ini_section::boolean_or(const std::string& key, bool fallback) {
    const auto value = this->read_value(key);
    if (!value) {
        return fallback;
    }
    if (*value != "true" && *value != "false") {
        return this->fail_at(key, "'" + *value + "' is neither true nor false");
    }
    return *value == "true";
}

outcome<duration> ini_section::duration_or(const std::string& key, duration fallback,
                                           duration_range range) {
    const auto value = this->read_value(key);
    if (!value) {
        return fallback;
    }
    const auto parsed = parse_duration(*value);
    if (!parsed) {
        return this->fail_at(key, "'" + *value +
                                      "' is not a number with a unit, such as 250ms; "
                                      "units are us, ms, s, min, h, d");
    }
    if (*parsed < range.minimum || *parsed > range.maximum) {
        return this->fail_at(key, "'" + *value + "' is not within " +
                                      format_duration(range.minimum) + " to " +
                                      format_duration(range.maximum));
    }
    return *parsed;
}

outcome<endpoint> ini_section::address(const std::string& key) {
    BOOST_LEAF_AUTO(value, this->text(key));
    const auto parsed = value_or_error([&] { return parse_endpoint(value); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        return this->fail_at(key,
                             problem->message + "; expected ADDRESS:PORT, such as 127.0.0.1:7000");
    }
    return std::get<endpoint>(parsed);
}

outcome<std::optional<endpoint>> ini_section::optional_address(const std::string& key) {
    if (!this->has(key)) {
        this->requested_keys.insert(key);
        return std::optional<endpoint>{};
    }
    BOOST_LEAF_AUTO(parsed, this->address(key));
    return std::optional<endpoint>{parsed};
}

outcome<std::vector<std::string>> ini_section::list(const std::string& key) {
    std::vector<std::string> words;
    std::istringstream parts(this->read_value(key).value_or(""));
    for (std::string part; std::getline(parts, part, ',');) {
        const auto first = part.find_first_not_of(' ');
        if (first == std::string::npos) {
            return this->fail_at(key, "contains an empty item");
        }
        words.push_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
    }
    return words;
}

outcome<std::vector<endpoint>> ini_section::addresses(const std::string& key) {
    BOOST_LEAF_AUTO(words, this->list(key));
    std::vector<endpoint> parsed;
    for (const std::string& word : words) {
        const auto parsed_address = value_or_error([&] { return parse_endpoint(word); });
        if (const auto* problem = std::get_if<error>(&parsed_address)) {
            return this->fail_at(key, problem->message +
                                          "; expected ADDRESS:PORT, such as 127.0.0.1:7000");
        }
        parsed.push_back(std::get<endpoint>(parsed_address));
    }
    return parsed;
}

outcome<void> ini_section::check_unknown_keys() const {
    for (const std::string& key : this->document->keys(this->group)) {
        if (!this->requested_keys.contains(key)) {
            const std::vector<std::string> known_keys(this->requested_keys.begin(),
                                                      this->requested_keys.end());
            return this->fail_at(key, "unknown key; known keys: " + comma_separated(known_keys));
        }
    }
    return {};
}

} // namespace kingcupcart::settings
