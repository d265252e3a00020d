#pragma once

#include "base/strong_id.h"

#include <string>

namespace kingcupcart::accounts {

/// A secret by which a caller shows that it belongs to an account. Never logged, and never part of
/// an error or a report.
using api_key = strong_id<struct api_key_tag, std::string>;

} // namespace kingcupcart::accounts
