#pragma once

namespace kingcupcart::routing {

/// How many targets of a pool are kept for short work.
///
/// Engines batch continuously and slow each member of the batch down by a share per neighbour, so
/// long drafts are packed on as few targets as the short work can spare. With `short_running`
/// requests on `kept` of `all` targets, short work is slower than alone by
/// (1 + slope * running / kept) / (1 + slope * running / all); the reserve is the smallest `kept`
/// that holds this at or under 1 + `budget`.
///
/// `slope` is the slow-down per neighbour as a share of the time alone.
[[nodiscard]] int short_reserve(double short_running, int all, double slope, double budget);

} // namespace kingcupcart::routing
