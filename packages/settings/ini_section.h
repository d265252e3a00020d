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

/// Range of a whole number, both ends included.
struct integer_range {
    std::int64_t least = 0;
    std::int64_t most = 0;
};

/// Range of a duration, both ends included.
struct duration_range {
    duration least{};
    duration most{};
};

/// One group of an INI file, read strictly: each getter checks its value, and `finish` refuses keys
/// that nobody asked for. Errors name file, line, group and key, and say what would be right.
class ini_section {
public:
    ini_section(const ini_document& document, std::string group);

    [[nodiscard]] bool has(const std::string& key) const;
    [[nodiscard]] outcome<std::string> text(const std::string& key);
    [[nodiscard]] outcome<std::string> text_or(const std::string& key, const std::string& fallback);
    /// One of `allowed`.
    [[nodiscard]] outcome<std::string> choice_or(const std::string& key,
                                                 const std::string& fallback,
                                                 const std::vector<std::string>& allowed);
    [[nodiscard]] outcome<std::int64_t> integer_or(const std::string& key, std::int64_t fallback,
                                                   integer_range range);
    [[nodiscard]] outcome<bool> boolean_or(const std::string& key, bool fallback);
    /// A whole number with a unit: us, ms, s, min, h, d.
    [[nodiscard]] outcome<duration> duration_or(const std::string& key, duration fallback,
                                                duration_range range);
    [[nodiscard]] outcome<endpoint> address(const std::string& key);
    [[nodiscard]] outcome<std::optional<endpoint>> address_if_any(const std::string& key);
    /// Comma-separated; empty where the key is missing.
    [[nodiscard]] outcome<std::vector<std::string>> list(const std::string& key);
    [[nodiscard]] outcome<std::vector<endpoint>> addresses(const std::string& key);

    /// Fails where the group holds a key that was not asked for.
    [[nodiscard]] outcome<void> finish() const;

    /// An error at a key of this group.
    [[nodiscard]] boost::leaf::error_id refuse(const std::string& key,
                                               const std::string& message) const;

private:
    std::optional<std::string> take(const std::string& key);

    const ini_document* document;
    std::string group;
    std::set<std::string> asked;
};

} // namespace kingcupcart::settings
