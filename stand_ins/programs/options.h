#pragma once

#include "stand_ins/announcer.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace kingcupcart::stand_ins {

/// Options that the stand-in programs share.
struct program_options {
    target_options target;
    std::chrono::microseconds first{5000};
    std::chrono::microseconds interval{2000};
    std::uint64_t version = 1;
};

/// Ends the program with a message where the words are wrong.
[[nodiscard]] program_options read_program_options(int count, char** words);

} // namespace kingcupcart::stand_ins
