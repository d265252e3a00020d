#pragma once

namespace kingcupcart::membership {

/// What stands behind a target: a model engine or a plain service.
enum class target_kind { engine, service };

} // namespace kingcupcart::membership
