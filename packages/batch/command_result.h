#pragma once

namespace kingcupcart::batch {

/// What became of a command.
enum class command_result {
    /// It took effect.
    done,
    /// It had taken effect before.
    repeated,
    /// There is no such job.
    no_such_job
};

} // namespace kingcupcart::batch
