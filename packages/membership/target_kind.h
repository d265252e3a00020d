#pragma once

namespace kingcupcart::membership {

/// What a target runs: a model engine or a plain service.
enum class target_kind { engine, service };

} // namespace kingcupcart::membership
