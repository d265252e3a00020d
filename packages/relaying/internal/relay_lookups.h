#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace kingcupcart::relaying {

/// Asks keepers for relays, and asks again when an answer is missing or outdated.
class relay_lookups {
public:
    enum class state {
        /// The last answer is recent enough.
        answered,
        asked,
        /// No keeper can be reached.
        unavailable
    };

    /// `ask` sends a message to a keeper; false if none can be reached.
    explicit relay_lookups(std::function<bool(const wire::message&)> ask);

    /// Asks for relays of the backend unless a lookup is open or the last answer is recent.
    state refresh(const backend_name& backend, duration max_age, time_point now);
    /// The backend that the response is about; empty if it answers no open lookup.
    [[nodiscard]] std::optional<backend_name> handle(const wire::relay_lookup_response& response,
                                                     time_point now);
    /// When `refresh` will ask again; empty if the backend was never asked for.
    [[nodiscard]] std::optional<time_point> next(const backend_name& backend,
                                                 duration max_age) const;

private:
    struct backend_lookup {
        /// Number of the open lookup; 0 if none is open.
        std::uint64_t number = 0;
        time_point asked_at{};
        std::optional<time_point> answered_at;
    };

    std::function<bool(const wire::message&)> ask;
    std::map<backend_name, backend_lookup> lookups;
    std::uint64_t last_number = 0;
};

} // namespace kingcupcart::relaying
