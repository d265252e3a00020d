#pragma once

#include "admission/work_class.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "membership/directory_change.h"
#include "membership/target_load.h"
#include "permits/permit_account.h"
#include "quarantine/crash_account.h"
#include "requests/actions.h"
#include "requests/dispatcher_limits.h"
#include "requests/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace kingcupcart::requests {

/// Decides how each request proceeds: queue, target, retry, hedge, resume or refusal.
///
/// A state machine without I/O: it receives messages and returns actions. It ensures the
/// guarantee about requests that a single process can give: a request that is not repeatable and
/// whose transmission to a target started is neither sent again nor reported as not run.
///
/// A request whose backend this instance is cut off from is relayed by another instance.
class dispatcher {
public:
    /// Counts what it sends in `permits`, and reports the requests under which connections break to
    /// `crashes`; both have to outlive the dispatcher. `permits` is null if no target can be
    /// limited, `crashes` if no request is subject to quarantine.
    dispatcher(location local_location, dispatcher_limits limits, std::uint64_t seed,
               permits::permit_account* permits = nullptr,
               quarantine::crash_account* crashes = nullptr);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    [[nodiscard]] actions handle(const message& incoming, time_point now);

    /// Applies the work classes of a new configuration.
    void set_classes(const std::vector<admission::work_class>& classes);
    [[nodiscard]] actions update_target(const membership::directory_change& change, time_point now);
    /// The permits of the target, or the expected wait for them, have changed.
    [[nodiscard]] actions update_permits(const target_id& target, time_point now);
    /// The decision of the crash account on these requests has changed, as its `take_changed` says.
    /// Sends or refuses those that wait.
    [[nodiscard]] actions update_suspect(const request_fingerprint& fingerprint, time_point now);
    void record_load(const membership::target_load& load);
    /// Records cache events of a target; they may arrive late and incompletely.
    void record_cached(const target_id& target, const std::vector<prefix_hash>& blocks,
                       time_point now);
    /// Number of instances in this failure domain, including this one.
    void set_instances(int count);
    /// The instance stops at `deadline`. Requests are still accepted, but for those that are not
    /// expected to end before; these, and queued ones for which it gets too late, are refused while
    /// another instance can take them.
    [[nodiscard]] actions announce_stop(time_point deadline, time_point now);
    /// Refuses new requests from now on. Running and queued requests are completed as above; those
    /// that are still open at `deadline` get their final response then.
    [[nodiscard]] actions begin_stop(time_point deadline, time_point now);

    /// Sets how the dispatcher learns whether a connection to the target is kept open.
    void set_kept_connections(std::function<bool(const target_id&)> has_kept_connection);

    /// Backends to whose targets this instance can open no connection.
    [[nodiscard]] std::vector<backend_name> cut_off_backends(time_point now) const;
    /// When `handle` must next receive `timer_expired`; empty without a pending timer.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// Whether the request is running or queued.
    [[nodiscard]] bool has_request(request_id request) const;
    /// Number of this instance's requests that run on the target.
    [[nodiscard]] int running_on(const target_id& target) const;
    /// Number of running and queued requests.
    [[nodiscard]] std::size_t open_requests() const;
    [[nodiscard]] std::size_t queued_requests() const;
    [[nodiscard]] std::size_t target_count(const backend_name& backend) const;

private:
    class state;
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::requests
