#include "daemon/allocator.h"

#include <spdlog/spdlog.h>

#include <malloc.h>

namespace kingcupcart::daemon {

namespace {

void set_option(const char* name, int option, std::size_t bytes) {
    if (mallopt(option, static_cast<int>(bytes)) == 0) {
        spdlog::error("allocator option refused option={} bytes={}", name, bytes);
    }
}

} // namespace

void limit_retained_memory() {
    set_option("mmap_threshold", M_MMAP_THRESHOLD, mapped_block_bytes);
    set_option("trim_threshold", M_TRIM_THRESHOLD, kept_free_bytes);
}

} // namespace kingcupcart::daemon
