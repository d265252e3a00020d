#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcupcart::settings {

class ini_document;

/// Range of an integer, bounds included.
struct integer_range {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

/// Range of a decimal number, bounds included.
struct decimal_range {
    double minimum = 0;
    double maximum = 0;
};

/// Range of a duration, bounds included.
struct duration_range {
    duration minimum{};
    duration maximum{};
};

/// Strict reader of one group of an INI file. Each getter validates its value; once all known keys
/// are read, `check_unknown_keys` rejects the remaining ones. Errors give the file, line, group and
/// key, and the values that are allowed. A getter that takes a fallback returns it if the key is
/// missing.
class ini_section {
public:
    ini_section(const ini_document& document, std::string group);

    [[nodiscard]] bool has(const std::string& key) const;
    /// Fails if the key is missing or empty.
    [[nodiscard]] outcome<std::string> text(const std::string& key);
    [[nodiscard]] outcome<std::string> text_or(const std::string& key, const std::string& fallback);
    /// Fails if the value, or the fallback, is not one of `allowed`.
    [[nodiscard]] outcome<std::string> choice_or(const std::string& key,
                                                 const std::string& fallback,
                                                 const std::vector<std::string>& allowed);
    [[nodiscard]] outcome<std::int64_t> integer_or(const std::string& key, std::int64_t fallback,
                                                   integer_range range);
    /// A number such as 50, 50.0 or 0.5.
    [[nodiscard]] outcome<double> decimal_or(const std::string& key, double fallback,
                                             decimal_range range);
    [[nodiscard]] outcome<bool> boolean_or(const std::string& key, bool fallback);
    /// An integer with a unit: us, ms, s, min, h or d.
    [[nodiscard]] outcome<duration> duration_or(const std::string& key, duration fallback,
                                                duration_range range);
    /// An IP address with a port; fails if the key is missing.
    [[nodiscard]] outcome<endpoint> address(const std::string& key);
    /// Empty if the key is missing.
    [[nodiscard]] outcome<std::optional<endpoint>> optional_address(const std::string& key);
    /// A comma-separated list; empty if the key is missing.
    [[nodiscard]] outcome<std::vector<std::string>> list(const std::string& key);
    /// A comma-separated list of addresses; empty if the key is missing.
    [[nodiscard]] outcome<std::vector<endpoint>> addresses(const std::string& key);

    /// Fails if the group holds a key that no getter has read.
    [[nodiscard]] outcome<void> check_unknown_keys() const;

    /// Reports an error whose message starts with the location of `key`.
    [[nodiscard]] boost::leaf::error_id fail_at(const std::string& key,
                                                const std::string& message) const;

private:
    /// Returns the raw value, if any, and marks the key as known.
    std::optional<std::string> read_value(const std::string& key);

    const ini_document* document;
    std::string group;
    std::set<std::string> requested_keys;
};

} // namespace kingcupcart::settings
