#pragma once

#include <string>
#include <vector>

namespace kingcupcart::command {

inline constexpr int exit_ok = 0;
inline constexpr int exit_refused = 1;
inline constexpr int exit_usage = 2;

/// What stood on the command line after the subcommand's name.
struct arguments {
    /// `address:port` of an instance's admin address.
    std::string admin;
    /// Operators name an order so that a resend has no second effect.
    std::string order_id;
    /// Configuration version that a change builds on; empty for the accepted one.
    std::string base;
    std::vector<std::string> words;
};

/// One of the operator's commands.
struct subcommand {
    const char* name;
    const char* usage;
    const char* summary;
    int (*run)(const arguments& given);
};

[[nodiscard]] const std::vector<subcommand>& subcommands();

} // namespace kingcupcart::command
