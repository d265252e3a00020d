#pragma once

#include "base/clock.h"
#include "wire/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace kingcupcart::store {

/// Requests for results and item bodies whose responses wait until the link to their gateway has
/// room. The load: most gateways are gone, and many callers read large results through one that is
/// left. Responses that were put on the link at once would arrive after their callers have left,
/// and callers that ask again would add to them.
class response_backlog {
public:
    using request = std::variant<wire::read_results_request, wire::item_body_request>;
    struct entry {
        std::uint64_t link = 0;
        request content;
        time_point expires{};
    };

    /// A response is put on a link only while at most this much waits there: a quarter of a second
    /// on a link between regions, which carries about 6 MB/s.
    static constexpr std::size_t max_unsent_bytes = 1'500'000;
    /// A gateway whose caller still waits asks again after this time, beside the waiting time of a
    /// read.
    static constexpr duration request_lifetime = std::chrono::milliseconds(1200);

    /// Whether an earlier request of the link waits.
    [[nodiscard]] bool holds(std::uint64_t link) const;
    /// Adds a request. One of the same call that waits already keeps its place and lives longer.
    void add(std::uint64_t link, const request& content, time_point now);
    /// Drops the requests that have expired, and takes the newest one whose link has room: the
    /// caller of the oldest one is the next to leave, and would not receive its response in time.
    std::optional<entry> take(time_point now,
                              const std::function<bool(std::uint64_t link)>& has_room);
    std::vector<entry> take_all();
    [[nodiscard]] bool empty() const { return this->entries.empty(); }

    [[nodiscard]] static std::uint64_t call_of(const request& content);

private:
    /// In the order in which they were added.
    std::vector<entry> entries;
};

} // namespace kingcupcart::store
