#pragma once

namespace kingcupcart::command {

/// Runs the operator's command line; called by `main`. Returns the exit code: 0 success; 1 the
/// instance rejected the request or can't be reached; 2 invalid usage or input.
int run_command_line(int argc, char** argv, const char* version);

} // namespace kingcupcart::command
