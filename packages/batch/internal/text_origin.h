#pragma once

#include "base/ids.h"
#include "batch/engine.h"

namespace kingcupcart::batch {

/// The software that generated a text. Only equal origins continue each other's texts; versions of
/// different services say nothing of each other.
struct text_origin {
    backend_name service;
    software_version software;

    friend bool operator==(const text_origin&, const text_origin&) = default;
};

[[nodiscard]] inline text_origin origin_of(const engine& descriptor) {
    return {descriptor.service, descriptor.software};
}

} // namespace kingcupcart::batch
