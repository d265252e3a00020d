#pragma once

namespace kingcupcart::batch {

/// Whether slots suffice for all groups to meet their due times.
enum class capacity { sufficient, short_of_demand };

} // namespace kingcupcart::batch
