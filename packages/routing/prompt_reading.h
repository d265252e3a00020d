#pragma once

#include "base/clock.h"
#include "base/units.h"

#include <cstddef>

namespace kingcupcart::routing {

/// Learns how fast the targets of a pool read prompts, and bounds what a target has still to read.
///
/// Answers the load of a few prompts of thousands of tokens beside many short ones. An engine reads
/// prompts in order of arrival and knows no priorities, so a short prompt that is sent behind a
/// long one waits until the long one is read. No target is set aside: any of them may read a long
/// prompt, but only a part of them at the same time.
class prompt_reading {
public:
    /// Records that a target produced the first output of a prompt after `elapsed`. `unread` is
    /// what the target had to read until then: the prompt, and the prompts sent before it.
    void observe(tokens unread, duration elapsed);

    /// Zero as long as no prompt was long enough to tell.
    [[nodiscard]] duration time_to_read(tokens unread) const;
    /// Whether a short prompt that is sent behind this one would wait noticeably.
    [[nodiscard]] bool is_long(tokens prompt) const;
    /// Whether another prompt may be sent to a target that has so much to read.
    [[nodiscard]] bool may_send_behind(tokens unread) const;
    /// Number of targets, of `targets` in use, that may read long prompts at the same time.
    [[nodiscard]] static std::size_t max_long_readers(std::size_t targets);
    /// Relative penalty on the score of a target that has so much to read.
    [[nodiscard]] double penalty(tokens unread) const;

    /// What a target has still to read delays the next prompt by up to this time: half of the
    /// latency objective of 200 ms that interactive callers usually set.
    static constexpr duration max_wait = std::chrono::milliseconds(100);

private:
    /// Running median of the time for `observed_tokens` tokens.
    duration median{};
};

} // namespace kingcupcart::routing
