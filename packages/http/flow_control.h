#pragma once

#include <cstddef>

namespace kingcupcart::http {

/// Decides when the target of a stream has to wait because its caller reads more slowly than it
/// sends: from more than 64 KiB that are not sent to the caller, until half of that is left.
class flow_control {
public:
    static constexpr std::size_t max_unsent_bytes = 64UL * 1024;

    /// Takes note of what is unsent now; returns whether `is_paused` has changed.
    bool update(std::size_t unsent_bytes) {
        const std::size_t limit = this->pauses ? max_unsent_bytes / 2 : max_unsent_bytes;
        const bool was_paused = this->pauses;
        this->pauses = unsent_bytes > limit;
        return this->pauses != was_paused;
    }
    [[nodiscard]] bool is_paused() const { return this->pauses; }

private:
    bool pauses = false;
};

} // namespace kingcupcart::http
