#pragma once

#include "base/outcome.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::settings {

/// A parsed INI file (GLib's key file format) that records the line number of each group and key.
class ini_document {
public:
    /// Parses `text`; error messages use `name` as the file name.
    static outcome<ini_document> parse(const std::string& text, const std::string& name);
    static outcome<ini_document> load(const std::string& path);

    [[nodiscard]] const std::vector<std::string>& groups() const { return this->group_names; }
    [[nodiscard]] bool has_group(const std::string& group) const;
    [[nodiscard]] std::vector<std::string> keys(const std::string& group) const;
    [[nodiscard]] std::optional<std::string> value(const std::string& group,
                                                   const std::string& key) const;
    /// Location of a key for error messages: `file:line: [group] key`. A missing key gives the line
    /// of its group, a missing group gives no line, and an empty `key` leaves the key out.
    [[nodiscard]] std::string location_of(const std::string& group, const std::string& key) const;

    /// Fails if a group is not listed in `known` and does not start with one of `prefixes`.
    [[nodiscard]] outcome<void> check_groups(const std::vector<std::string>& known,
                                             const std::vector<std::string>& prefixes) const;

private:
    struct entry {
        std::string value;
        int line = 0;
    };
    struct group_content {
        int line = 0;
        std::map<std::string, entry> entries;
    };

    outcome<void> index_lines(const std::string& text);

    std::string name;
    std::vector<std::string> group_names;
    std::map<std::string, group_content> contents;
};

} // namespace kingcupcart::settings
