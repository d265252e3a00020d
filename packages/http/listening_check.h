#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "task/timer.h"

#include <functional>
#include <memory>

namespace kingcupcart::http {

class connection;

/// Finds out whether a process listens at an address by a connection on which it sends nothing.
/// Runs on the event loop of the thread that created it.
class listening_check {
public:
    enum class result {
        listening,
        /// The host refuses connections to the port.
        refused,
        /// No answer within the time limit, or the host can't be reached.
        unknown
    };

    /// Calls `on_result` once, from the event loop, at the latest after `max_time`; it may destroy
    /// the check.
    listening_check(const clock& time, const endpoint& address, duration max_time,
                    std::function<void(result)> on_result);
    ~listening_check();
    listening_check(const listening_check&) = delete;
    listening_check& operator=(const listening_check&) = delete;

private:
    void end(result found);
    void handle_ready();
    void handle_timer();

    std::function<void(result)> on_result;
    std::unique_ptr<connection> link;
    result found = result::unknown;
    task::timer timer;
};

} // namespace kingcupcart::http
