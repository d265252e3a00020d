#pragma once

#include "engines/target_protocol.h"
#include "keeper/platform_protocol.h"
#include "routes/route_table_parser.h"

namespace kingcupcart::keeper {

/// The parts of the external protocol that a keeper of a fleet uses: parsing of routes documents,
/// and requests to targets.
struct external_protocol {
    routes::route_table_parser parse_route_table = nullptr;
    engines::target_protocol targets;
    platform_protocol platform;
};

} // namespace kingcupcart::keeper
