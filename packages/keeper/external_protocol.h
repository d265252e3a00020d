#pragma once

#include "engines/target_protocol.h"
#include "routes/table_reader.h"

namespace kingcupcart::keeper {

/// The parts of the external protocol that a keeper of a fleet uses: parsing of routes documents,
/// and requests to targets.
struct external_protocol {
    routes::table_reader read_table = nullptr;
    engines::target_protocol targets;
};

} // namespace kingcupcart::keeper
