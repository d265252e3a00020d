#pragma once

#include "completions/server_sent_event.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::completions {

/// Incremental parser for a stream of server-sent events; the input may be split at any byte.
class event_parser {
public:
    /// Returns the data of each event that `input` completes; events without data are skipped.
    [[nodiscard]] std::vector<std::string> feed(std::string_view input);
    /// Returns the events that `input` completes, with all their fields.
    [[nodiscard]] std::vector<server_sent_event> feed_events(std::string_view input);
    /// Whether no partial event is buffered.
    [[nodiscard]] bool is_between_events() const {
        return this->line.empty() && this->current.is_empty();
    }

    /// Memory of the partial event, in bytes.
    [[nodiscard]] std::size_t buffered_bytes() const {
        return this->line.size() + this->current_bytes;
    }

    /// Whether an event exceeded `max_event_bytes`; all later input is ignored.
    [[nodiscard]] bool is_over_limit() const { return this->over_limit; }

    static constexpr std::size_t max_event_bytes = 1024UL * 1024;

private:
    void parse_line(std::vector<server_sent_event>& events);

    std::string line;
    server_sent_event current;
    /// Memory of `current`, in bytes.
    std::size_t current_bytes = 0;
    /// The current event has a `data` line, which may be empty.
    bool has_data_line = false;
    bool over_limit = false;
};

} // namespace kingcupcart::completions
