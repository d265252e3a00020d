#pragma once

#include "completions/server_event.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::completions {

/// Cuts a stream of server-sent events into their data.
class event_parser {
public:
    /// The data of the events that `part` completes.
    [[nodiscard]] std::vector<std::string> feed(std::string_view part);
    /// The whole events that `part` completes.
    [[nodiscard]] std::vector<server_event> feed_events(std::string_view part);
    /// Nothing of an unfinished event is held.
    [[nodiscard]] bool is_between_events() const {
        return this->line.empty() && this->current.is_empty();
    }

    /// An event has grown beyond the limit; nothing more is parsed.
    [[nodiscard]] bool is_overfull() const { return this->overfull; }

    /// Largest event, in bytes.
    static constexpr std::size_t event_limit = 1024UL * 1024;

private:
    void take_line(std::vector<server_event>& events);

    std::string line;
    server_event current;
    bool overfull = false;
};

} // namespace kingcupcart::completions
