#pragma once

#include "http/client.h"
#include "http/internal/connection_pool.h"
#include "http/internal/read_coalescer.h"
#include "http/response_budget.h"
#include "task/wakeup.h"

#include <memory>
#include <unordered_set>
#include <vector>

namespace kingcupcart::http {

/// What the calls of a client share. A call that is in progress holds a reference to it.
class client::shared_state {
public:
    shared_state(const clock& time, const parameters& settings);

    /// Starts the call in the event loop's next iteration.
    void start_later(std::shared_ptr<call::state> waiting);
    /// Keeps the call until it has ended, also if its owner destroys its handle before.
    void add_open(const std::shared_ptr<call::state>& opened);
    void remove_open(const std::shared_ptr<call::state>& ended);
    /// Ends all calls without calling their callbacks.
    void close();

    const clock& time;
    response_limits limits;
    duration open_timeout;
    duration silence_limit;
    std::shared_ptr<response_budget> budget;
    connection_pool idle_connections;
    /// Null if responses are read as data arrives.
    std::shared_ptr<read_coalescer> coalescer;

private:
    void start_waiting();

    std::vector<std::shared_ptr<call::state>> waiting_calls;
    std::unordered_set<std::shared_ptr<call::state>> open_calls;
    task::wakeup start_timer;
};

} // namespace kingcupcart::http
