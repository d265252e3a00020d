#include "store/internal/response_backlog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcupcart::store {

bool response_backlog::holds(std::uint64_t link) const {
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [&](const entry& waiting) { return waiting.link == link; });
}

void response_backlog::add(std::uint64_t link, const request& content, time_point now) {
    duration lifetime = request_lifetime;
    if (const auto* read = std::get_if<wire::read_results_request>(&content)) {
        lifetime += read->max_wait;
    }
    const auto earlier =
        std::find_if(this->entries.begin(), this->entries.end(), [&](const entry& waiting) {
            return waiting.link == link && call_of(waiting.content) == call_of(content);
        });
    if (earlier != this->entries.end()) {
        earlier->expires = now + lifetime;
    } else {
        this->entries.push_back({link, content, now + lifetime});
    }
}

std::optional<response_backlog::entry>
response_backlog::take(time_point now, const std::function<bool(std::uint64_t link)>& has_room) {
    std::erase_if(this->entries, [&](const entry& waiting) { return waiting.expires <= now; });
    const auto found = std::find_if(this->entries.rbegin(), this->entries.rend(),
                                    [&](const entry& waiting) { return has_room(waiting.link); });
    if (found == this->entries.rend()) {
        return std::nullopt;
    }
    entry taken = std::move(*found);
    this->entries.erase(std::next(found).base());
    return taken;
}

std::vector<response_backlog::entry> response_backlog::take_all() {
    return std::exchange(this->entries, {});
}

std::uint64_t response_backlog::call_of(const request& content) {
    return std::visit([](const auto& alternative) { return alternative.call; }, content);
}

} // namespace kingcupcart::store
