#pragma once

#include "base/outcome.h"
#include "routes/route_table.h"

#include <string_view>

namespace kingcupcart::routes {

/// Reads a table from the document in which an operator sent it. Fails with `invalid_input`, naming
/// what is wrong, where it can't be read in full or is not valid.
using table_reader = outcome<route_table> (*)(std::string_view document);

} // namespace kingcupcart::routes
