#pragma once

#include "base/ids.h"

namespace kingcupcart::forwarding {

/// Where a stream began; only targets of this service and version may continue it.
struct stream_origin {
    backend_name backend;
    software_version software;

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

} // namespace kingcupcart::forwarding
