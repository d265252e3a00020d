#pragma once

#include "base/clock.h"
#include "task/wakeup.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace kingcupcart::telemetry {
class metric_set;
}

namespace kingcupcart::http {

/// The memory that the callers of a task make it hold: requests that arrive, and responses that
/// wait until their callers take them. While they exceed the limit, connections of callers are
/// closed: first that of the caller that has sent or taken nothing for longest, and among those
/// that do the one for which most is held, the oldest if several are equal. Belongs to the event
/// loop of the thread that created it.
class caller_budget {
public:
    /// `time` has to outlive the budget.
    caller_budget(const clock& time, std::size_t limit_bytes);
    ~caller_budget() = default;
    caller_budget(const caller_budget&) = delete;
    caller_budget& operator=(const caller_budget&) = delete;

    /// What is held for one caller's request. Given back when it is destroyed.
    class share {
    public:
        struct caller {
            /// Returns a count of the bytes that the caller has sent and taken, from any origin.
            std::function<std::int64_t()> moved_bytes;
            /// Closes the caller's connection because the budget is short; the argument says why.
            /// What this leads to has to follow in a later iteration of the event loop.
            std::function<void(const std::string& reason)> close_connection;
        };

        share(std::shared_ptr<caller_budget> budget, caller owner);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// Sets the bytes that are held now. Where they have grown, connections may be closed
        /// before this function returns, also this one; nothing counts for it any more then.
        void set(std::size_t bytes);
        [[nodiscard]] std::size_t bytes() const { return this->held_bytes; }
        /// Time for which the caller has neither sent nor taken anything.
        [[nodiscard]] duration idle_time() const;
        [[nodiscard]] const caller_budget& owner() const { return *this->budget; }

    private:
        friend class caller_budget;

        std::shared_ptr<caller_budget> budget;
        caller peer;
        std::size_t held_bytes = 0;
        time_point held_since{};
        /// When the caller sent or took something last, or when something was first held for it.
        time_point moved_at{};
        /// Empty until the first look after that.
        std::optional<std::int64_t> last_moved_bytes;
        bool is_closed = false;
    };

    /// Bytes held for all callers now, and the most at any time.
    [[nodiscard]] std::size_t held_bytes() const { return this->total_bytes; }
    [[nodiscard]] std::size_t peak_bytes() const { return this->most_bytes; }
    /// Callers whose connections were closed.
    [[nodiscard]] std::uint64_t cut_count() const { return this->cut_callers; }
    void export_metrics(telemetry::metric_set& metrics) const;

private:
    void resize(share& changed, std::size_t bytes);
    /// Looks at which callers have sent or taken something since the last look.
    void look();
    void close_connections();
    /// Null if nothing is held.
    [[nodiscard]] share* next_to_close() const;

    const clock& time;
    std::size_t limit_bytes;
    std::size_t total_bytes = 0;
    std::size_t most_bytes = 0;
    std::uint64_t cut_callers = 0;
    /// Those for which anything is held.
    std::unordered_set<share*> shares;
    /// Armed while there are any, so that it costs nothing at rest.
    task::wakeup look_timer;
    bool is_looking = false;
};

} // namespace kingcupcart::http
