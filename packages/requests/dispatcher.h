#pragma once

#include "admission/work_class.h"
#include "base/clock.h"
#include "base/ids.h"
#include "membership/directory_change.h"
#include "membership/target_load.h"
#include "requests/actions.h"
#include "requests/dispatcher_limits.h"
#include "requests/messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace kingcupcart::requests {

/// Decides the way of each request: queue, target, retry, hedge, resume, refusal.
///
/// A plain state machine: messages in, actions out. It keeps every promise about requests that does
/// not need another process: a request that was handed to a socket and may not be repeated is never
/// sent again, and is never said to be not run.
class dispatcher {
public:
    dispatcher(location local_location, dispatcher_limits limits, std::uint64_t seed);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    [[nodiscard]] actions handle(const message& incoming, time_point now);

    /// Takes over the classes of a new configuration.
    void set_classes(const std::vector<admission::work_class>& classes);
    [[nodiscard]] actions update_target(const membership::directory_change& change, time_point now);
    void record_load(const membership::target_load& load);
    /// Cache events of a target, late and with gaps.
    void record_cached(const target_id& target, const std::vector<prefix_hash>& blocks,
                       time_point now);
    /// Instances of this failure domain, this one included.
    void set_instances(int count);
    /// New requests are refused from now on; those that run or wait are finished.
    void begin_stop();

    /// When `timer_expired` is due next; empty while nothing is pending.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// Whether the request runs or waits.
    [[nodiscard]] bool has_request(request_id request) const;
    /// Requests of this instance that run on the target.
    [[nodiscard]] int running_on(const target_id& target) const;
    /// Requests that run or wait.
    [[nodiscard]] std::size_t open_requests() const;
    [[nodiscard]] std::size_t queued_requests() const;
    [[nodiscard]] std::size_t target_count(const backend_name& backend) const;

private:
    class state;
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::requests
