#include "base/suspended_time.h"

#include <ctime>

namespace kingcupcart {

namespace {

duration read(clockid_t source) {
    timespec moment{};
    clock_gettime(source, &moment);
    return std::chrono::seconds(moment.tv_sec) + std::chrono::nanoseconds(moment.tv_nsec);
}

} // namespace

duration suspended_time() {
    const duration running = read(CLOCK_MONOTONIC);
    return read(CLOCK_BOOTTIME) - running;
}

} // namespace kingcupcart
