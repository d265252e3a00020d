#include "relaying/internal/relay_lookups.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <utility>

namespace kingcupcart::relaying {

namespace {

/// A keeper answers within a round trip of the network.
constexpr duration response_timeout = std::chrono::milliseconds(300);

} // namespace

relay_lookups::relay_lookups(std::function<bool(const wire::message&)> ask) : ask(std::move(ask)) {}

relay_lookups::state relay_lookups::refresh(const backend_name& backend, duration max_age,
                                            time_point now) {
    const auto due = this->next(backend, max_age);
    backend_lookup& lookup = this->lookups[backend];
    if (due && now < *due) {
        return lookup.number != 0 ? state::asked : state::answered;
    }
    if (lookup.number != 0) {
        spdlog::warn("relay lookup unanswered backend={} age_ms={}", backend.value(),
                     (now - lookup.asked_at) / std::chrono::milliseconds(1));
    }
    lookup.number = ++this->last_number;
    lookup.asked_at = now;
    if (!this->ask(wire::relay_lookup_request{lookup.number, backend})) {
        lookup.number = 0;
        return state::unavailable;
    }
    return state::asked;
}

std::optional<backend_name> relay_lookups::handle(const wire::relay_lookup_response& response,
                                                  time_point now) {
    for (auto& [backend, lookup] : this->lookups) {
        if (lookup.number != 0 && lookup.number == response.lookup) {
            spdlog::info("relays looked up backend={} count={} took_ms={}", backend.value(),
                         response.candidates.size(),
                         (now - lookup.asked_at) / std::chrono::milliseconds(1));
            lookup.number = 0;
            lookup.answered_at = now;
            return backend;
        }
    }
    spdlog::debug("late relay lookup response ignored lookup={}", response.lookup);
    return std::nullopt;
}

std::optional<time_point> relay_lookups::next(const backend_name& backend, duration max_age) const {
    const auto found = this->lookups.find(backend);
    if (found == this->lookups.end()) {
        return std::nullopt;
    }
    const backend_lookup& lookup = found->second;
    if (lookup.number != 0) {
        return lookup.asked_at + response_timeout;
    }
    return lookup.answered_at ? std::optional(*lookup.answered_at + max_age) : std::nullopt;
}

} // namespace kingcupcart::relaying
