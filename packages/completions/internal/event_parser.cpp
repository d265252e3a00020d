#include "completions/event_parser.h"

#include <utility>

namespace kingcupcart::completions {

std::vector<std::string> event_parser::feed(std::string_view input) {
    std::vector<std::string> data;
    for (server_sent_event& event : this->feed_events(input)) {
        if (!event.data.empty()) {
            data.push_back(std::move(event.data));
        }
    }
    return data;
}

std::vector<server_sent_event> event_parser::feed_events(std::string_view input) {
    std::vector<server_sent_event> events;
    while (!input.empty() && !this->over_limit) {
        const auto end = input.find('\n');
        this->line += input.substr(0, end);
        if (this->buffered_bytes() > max_event_bytes) {
            this->over_limit = true;
            break;
        }
        if (end == std::string_view::npos) {
            break;
        }
        input.remove_prefix(end + 1);
        if (!this->line.empty() && this->line.back() == '\r') {
            this->line.pop_back();
        }
        this->parse_line(events);
        this->line.clear();
    }
    return events;
}

void event_parser::parse_line(std::vector<server_sent_event>& events) {
    if (this->line.empty()) {
        if (!this->current.is_empty()) {
            events.push_back(std::exchange(this->current, {}));
        }
        this->current_bytes = 0;
        this->has_data_line = false;
        return;
    }
    const std::string_view field = this->line;
    const auto colon = field.find(':');
    const std::string_view name = field.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : field.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    this->current_bytes += field.size();
    if (name == "data") {
        this->current.data += std::exchange(this->has_data_line, true) ? "\n" : "";
        this->current.data += value;
    } else if (name == "id") {
        this->current.id = value;
    } else if (!name.empty()) {
        this->current.other_fields.push_back({std::string(name), std::string(value)});
        this->current_bytes += sizeof(header_field);
    }
}

} // namespace kingcupcart::completions
