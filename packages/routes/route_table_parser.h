#pragma once

#include "base/outcome.h"
#include "routes/route_table.h"

#include <string_view>

namespace kingcupcart::routes {

/// Parses a routes document that an operator submitted. Fails with `invalid_input` and a
/// description of the error if the document is malformed or the table is not valid.
using route_table_parser = outcome<route_table> (*)(std::string_view document);

} // namespace kingcupcart::routes
