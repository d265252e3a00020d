#pragma once

namespace kingcupcart::routing {

/// Number of targets of a pool to reserve for short work.
///
/// An engine batches continuously, and each further request slows the whole batch down by a fixed
/// share. Long work is therefore packed on the targets that short work can spare. With
/// `short_running` requests on `reserved` of `target_count` targets, the slowdown of short work
/// relative to an even spread over all targets is
/// (1 + slope * short_running / reserved) / (1 + slope * short_running / target_count); the result
/// is the smallest `reserved` that keeps this at or below 1 + `budget`.
///
/// `slope` is the relative slowdown per concurrent request, see `slowdown_model`.
[[nodiscard]] int short_reserve(double short_running, int target_count, double slope,
                                double budget);

} // namespace kingcupcart::routing
