#pragma once

#include "stand_ins/announcer.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace kingcupcart::stand_ins {

/// Command line options of the stand-in programs.
struct program_options {
    target_options target;
    /// Time from a request's arrival to the first token, or to a service's response.
    std::chrono::microseconds initial_delay{5000};
    std::chrono::microseconds token_interval{2000};
    std::uint64_t weight_version = 1;
};

/// Exits with a message and status 2 if an option is unknown or an address is malformed.
[[nodiscard]] program_options read_program_options(int argc, char** argv);

} // namespace kingcupcart::stand_ins
