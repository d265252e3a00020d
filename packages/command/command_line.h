#pragma once

namespace kingcupcart::command {

/// Runs the operator's command; the program's `main`. Exit codes: 0 done; 1 the instance refused or
/// could not be reached; 2 wrong usage or input.
int run_command_line(int count, char** words, const char* version);

} // namespace kingcupcart::command
