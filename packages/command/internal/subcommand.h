#pragma once

#include <string>
#include <vector>

namespace kingcupcart::command {

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

/// The options and operands of a subcommand.
struct subcommand_arguments {
    /// Admin address of an instance, as `address:port`.
    std::string admin;
    /// Identifies a change, so that a retry is not applied twice; generated if empty.
    std::string order_id;
    /// Configuration version that a change is based on; empty for the accepted one.
    std::string base;
    /// The words after the subcommand's name.
    std::vector<std::string> operands;
};

/// One of the operator's commands.
struct subcommand {
    const char* name;
    const char* usage;
    const char* summary;
    /// Returns the exit code.
    int (*run)(const subcommand_arguments& arguments);
};

[[nodiscard]] const std::vector<subcommand>& subcommands();

} // namespace kingcupcart::command
