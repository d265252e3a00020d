#include "settings/ini_document.h"

#include <glib.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>

namespace kingcupcart::settings {

namespace {

struct key_file_deleter {
    void operator()(GKeyFile* file) const { g_key_file_unref(file); }
};
using key_file = std::unique_ptr<GKeyFile, key_file_deleter>;

struct g_free_deleter {
    void operator()(char* text) const { g_free(text); }
};
using glib_string = std::unique_ptr<char, g_free_deleter>;

std::string trimmed(const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string::npos) {
        return "";
    }
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

} // namespace

outcome<ini_document> ini_document::load(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(error_code::not_found, path + ": cannot be opened");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

outcome<ini_document> ini_document::parse(const std::string& text, const std::string& name) {
    ini_document document;
    document.name = name;
    BOOST_LEAF_CHECK(document.index_lines(text));
    const key_file parsed(g_key_file_new());
    GError* problem = nullptr;
    if (!g_key_file_load_from_data(parsed.get(), text.data(), text.size(), G_KEY_FILE_NONE,
                                   &problem)) {
        const std::string message = problem->message;
        g_error_free(problem);
        return fail(error_code::invalid_input, name + ": " + message);
    }
    for (auto& [group, content] : document.contents) {
        for (auto& [key, entry] : content.entries) {
            const glib_string value(
                g_key_file_get_string(parsed.get(), group.c_str(), key.c_str(), &problem));
            if (value == nullptr) {
                const std::string message = problem->message;
                g_error_free(problem);
                return fail(error_code::invalid_input,
                            document.location_of(group, key) + ": " + message);
            }
            entry.value = trimmed(value.get());
        }
    }
    return document;
}

outcome<void> ini_document::index_lines(const std::string& text) {
    std::istringstream lines(text);
    std::string line;
    std::string group;
    for (int number = 1; std::getline(lines, line); ++number) {
        const std::string line_prefix = this->name + ":" + std::to_string(number) + ": ";
        const std::string content = trimmed(line);
        if (content.empty() || content.front() == '#') {
            continue;
        }
        if (content.front() == '[' && content.back() == ']') {
            group = content.substr(1, content.size() - 2);
            if (this->contents.contains(group)) {
                return fail(error_code::invalid_input,
                            line_prefix + "group [" + group + "] is defined twice, first on line " +
                                std::to_string(this->contents[group].line));
            }
            this->contents[group].line = number;
            this->group_names.push_back(group);
            continue;
        }
        const auto equals = content.find('=');
        if (equals == std::string::npos) {
            return fail(error_code::invalid_input,
                        line_prefix + "'" + content + "' is neither [group] nor key = value");
        }
        const std::string key = trimmed(content.substr(0, equals));
        if (group.empty()) {
            return fail(error_code::invalid_input,
                        line_prefix + "'" + key + "' appears before the first [group]");
        }
        auto& entries = this->contents[group].entries;
        if (entries.contains(key)) {
            return fail(error_code::invalid_input, line_prefix + "[" + group + "] " + key +
                                                       " is defined twice, first on line " +
                                                       std::to_string(entries[key].line));
        }
        entries[key].line = number;
    }
    return {};
}

bool ini_document::has_group(const std::string& group) const {
    return this->contents.contains(group);
}

std::vector<std::string> ini_document::keys(const std::string& group) const {
    std::vector<std::string> names;
    const auto found = this->contents.find(group);
    if (found != this->contents.end()) {
        for (const auto& [key, entry] : found->second.entries) {
            names.push_back(key);
        }
    }
    return names;
}

std::optional<std::string> ini_document::value(const std::string& group,
                                               const std::string& key) const {
    const auto found = this->contents.find(group);
    if (found == this->contents.end()) {
        return std::nullopt;
    }
    const auto entry = found->second.entries.find(key);
    if (entry == found->second.entries.end()) {
        return std::nullopt;
    }
    return entry->second.value;
}

std::string ini_document::location_of(const std::string& group, const std::string& key) const {
    std::string line;
    const auto found = this->contents.find(group);
    if (found != this->contents.end()) {
        const auto entry = found->second.entries.find(key);
        const int number =
            entry == found->second.entries.end() ? found->second.line : entry->second.line;
        line = ":" + std::to_string(number);
    }
    return this->name + line + ": [" + group + "]" + (key.empty() ? "" : " " + key);
}

outcome<void> ini_document::check_groups(const std::vector<std::string>& known,
                                         const std::vector<std::string>& prefixes) const {
    for (const std::string& group : this->group_names) {
        const bool is_known = std::find(known.begin(), known.end(), group) != known.end();
        const bool has_prefix =
            std::any_of(prefixes.begin(), prefixes.end(), [&](const std::string& prefix) {
                return group.size() > prefix.size() && group.starts_with(prefix);
            });
        if (is_known || has_prefix) {
            continue;
        }
        std::string expected;
        for (const std::string& name : known) {
            expected += " [" + name + "]";
        }
        for (const std::string& prefix : prefixes) {
            expected += " [" + prefix + "NAME]";
        }
        return fail(error_code::invalid_input,
                    this->location_of(group, "") + ": unknown group; expected one of" + expected);
    }
    return {};
}

} // namespace kingcupcart::settings
