#include "completions/event_parser.h"

namespace kingcupcart::completions {

namespace {

constexpr std::string_view data_field = "data:";

} // namespace

std::vector<std::string> event_parser::feed(std::string_view part) {
    std::vector<std::string> events;
    while (!part.empty() && !this->overfull) {
        const auto end = part.find('\n');
        this->line += part.substr(0, end);
        if (this->line.size() + this->data.size() > event_limit) {
            this->overfull = true;
            break;
        }
        if (end == std::string_view::npos) {
            break;
        }
        part.remove_prefix(end + 1);
        if (!this->line.empty() && this->line.back() == '\r') {
            this->line.pop_back();
        }
        if (this->line.empty()) {
            if (!this->data.empty()) {
                events.push_back(std::move(this->data));
                this->data.clear();
            }
        } else if (this->line.starts_with(data_field)) {
            std::string_view value = std::string_view(this->line).substr(data_field.size());
            if (value.starts_with(' ')) {
                value.remove_prefix(1);
            }
            this->data += (this->data.empty() ? "" : "\n");
            this->data += value;
        }
        this->line.clear();
    }
    return events;
}

} // namespace kingcupcart::completions
