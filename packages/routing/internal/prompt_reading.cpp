#include "routing/prompt_reading.h"

#include "routing/internal/running_median.h"

#include <algorithm>

namespace kingcupcart::routing {

namespace {

/// The reading speed is the time for so many tokens.
constexpr std::int64_t observed_tokens = 1024;
/// Largest share of the targets in use that read long prompts at the same time; the others serve
/// the short prompts that arrive meanwhile.
constexpr std::size_t long_reader_divisor = 2;

double ratio(duration part, duration whole) {
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

void prompt_reading::observe(tokens unread, duration elapsed) {
    if (unread.count() < observed_tokens) {
        // Connection and queue times outweigh the reading of a short prompt.
        return;
    }
    const double share = static_cast<double>(observed_tokens) / static_cast<double>(unread.count());
    const auto observed = static_cast<duration::rep>(static_cast<double>(elapsed.count()) * share);
    this->median = update_median(this->median, duration(observed));
}

duration prompt_reading::time_to_read(tokens unread) const {
    const double amount =
        static_cast<double>(unread.count()) / static_cast<double>(observed_tokens);
    return duration(static_cast<duration::rep>(static_cast<double>(this->median.count()) * amount));
}

bool prompt_reading::is_long(tokens prompt) const {
    return this->time_to_read(prompt) > max_wait;
}

bool prompt_reading::may_send_behind(tokens unread) const {
    return this->time_to_read(unread) <= max_wait;
}

std::size_t prompt_reading::max_long_readers(std::size_t targets) {
    return std::max<std::size_t>(1, targets / long_reader_divisor);
}

double prompt_reading::penalty(tokens unread) const {
    return ratio(this->time_to_read(unread), max_wait);
}

} // namespace kingcupcart::routing
