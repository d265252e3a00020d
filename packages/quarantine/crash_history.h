#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine_limits.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace kingcupcart::quarantine {

/// The crashes of targets under one request. Each incarnation of a target counts once, whichever
/// instances report it.
class crash_history {
public:
    struct crash {
        target_id target;
        incarnation_id incarnation;
        crash_status status = crash_status::suspected;
        bool is_trial = false;
        time_point at{};
    };

    /// Merges what is known of a target. Returns whether that changed anything. Ignores what is
    /// older than the latest whole response to the request.
    bool record(const crash_record& reported, time_point now, const quarantine_limits& limits);
    /// The request got a whole response at this time: no earlier crash counts, and the next ones
    /// count less.
    void clear(time_point completed_at);
    /// Forgets all crashes.
    void forget() { this->entries.clear(); }
    /// Drops crashes that no longer count. Returns whether there were any.
    bool expire(time_point now, const quarantine_limits& limits);
    /// Changes the status of each crash of this incarnation of the target that is suspected.
    bool set_status(const target_id& target, incarnation_id incarnation, crash_status status);

    /// Number of crashes that count.
    [[nodiscard]] std::size_t count() const;
    /// Time since the latest whole response; empty if there was none lately.
    [[nodiscard]] std::optional<duration> answered_age(time_point now) const;
    [[nodiscard]] bool contains(const target_id& target, incarnation_id incarnation) const;
    /// All crashes, withdrawn ones included, the earliest first.
    [[nodiscard]] const std::vector<crash>& crashes() const { return this->entries; }
    /// The latest crashes that count, for a message.
    [[nodiscard]] std::vector<crash_record> latest(std::size_t limit, time_point now) const;
    /// When the number of crashes reached that of a quarantine; empty if it did not.
    [[nodiscard]] std::optional<time_point> quarantined_at() const;
    [[nodiscard]] std::optional<time_point> first_at() const;
    [[nodiscard]] std::optional<time_point> last_at() const;
    [[nodiscard]] std::optional<time_point> cleared_at() const { return this->completed_at; }
    /// When `expire` has to be called next.
    [[nodiscard]] std::optional<time_point> next_expiry(const quarantine_limits& limits) const;

private:
    std::vector<crash> entries;
    std::optional<time_point> completed_at;
};

} // namespace kingcupcart::quarantine
