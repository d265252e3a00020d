#pragma once

#include "base/outcome.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::settings {

/// A parsed INI file (GLib's key file format) that remembers where its keys stand.
class ini_document {
public:
    /// `name` is the file's name in error messages.
    static outcome<ini_document> parse(const std::string& text, const std::string& name);
    static outcome<ini_document> load(const std::string& path);

    [[nodiscard]] const std::vector<std::string>& groups() const { return this->group_names; }
    [[nodiscard]] bool has_group(const std::string& group) const;
    [[nodiscard]] std::vector<std::string> keys(const std::string& group) const;
    [[nodiscard]] std::optional<std::string> value(const std::string& group,
                                                   const std::string& key) const;
    /// `file:line: [group] key`, or as much of it as exists.
    [[nodiscard]] std::string place(const std::string& group, const std::string& key) const;

    /// Fails where a group is neither among `known` nor starts with one of `prefixes`.
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
