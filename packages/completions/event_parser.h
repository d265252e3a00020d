#pragma once

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

    /// An event has grown beyond the limit; nothing more is parsed.
    [[nodiscard]] bool is_overfull() const { return this->overfull; }

    /// Largest event, in bytes.
    static constexpr std::size_t event_limit = 1024UL * 1024;

private:
    std::string line;
    std::string data;
    bool overfull = false;
};

} // namespace kingcupcart::completions
