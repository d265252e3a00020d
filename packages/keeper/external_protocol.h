#pragma once

#include "engines/target_protocol.h"
#include "routes/table_reader.h"

namespace kingcupcart::keeper {

/// What a keeper of a fleet needs of the outer protocol: how routes are read and targets spoken to.
struct external_protocol {
    routes::table_reader read_table = nullptr;
    engines::target_protocol targets;
};

} // namespace kingcupcart::keeper
