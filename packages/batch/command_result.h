#pragma once

namespace kingcupcart::batch {

/// Result of applying a command.
enum class command_result {
    /// The command changed the state, or is a `read_barrier`.
    done,
    /// The command had no effect, usually because it repeats an earlier one.
    repeated,
    /// The command names an unknown job.
    no_such_job
};

} // namespace kingcupcart::batch
