#pragma once

namespace kingcupcart::engines {

/// What the head of an answer says of the attempt that it came for.
enum class answer_kind {
    /// The target's answer to this request.
    genuine,
    /// The target did not run the request and never will.
    not_run,
    /// It belongs to another request, or is not the target's whole answer: the connection can't be
    /// used any more, and the request may have run.
    foreign
};

} // namespace kingcupcart::engines
