#pragma once

namespace kingcupcart::paths {

/// Why a path to a target counts as lost.
enum class path_evidence {
    /// A connection was refused or failed while it was opened.
    refused,
    /// A connection did not open in time.
    open_timed_out,
    /// The target's system does not acknowledge what was written to an open connection.
    silent
};

[[nodiscard]] inline const char* to_string(path_evidence evidence) {
    switch (evidence) {
    case path_evidence::refused:
        return "refused";
    case path_evidence::open_timed_out:
        return "open-timed-out";
    case path_evidence::silent:
        return "silent";
    }
    return "?";
}

} // namespace kingcupcart::paths
