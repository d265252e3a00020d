#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <string>

namespace kingcupcart {

double cpu_seconds(int process_id) {
    std::ifstream file("/proc/" + std::to_string(process_id) + "/stat");
    std::string word;
    long ticks = 0;
    constexpr int user_field = 14;
    constexpr int system_field = 15;
    for (int field = 1; file >> word && field <= system_field; ++field) {
        ticks += field >= user_field ? std::stol(word) : 0;
    }
    return static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace kingcupcart
