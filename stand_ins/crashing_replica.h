#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "stand_ins/platform_replica.h"
#include "task/wakeup.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::stand_ins {

/// A stand-in for a replica of a plain service that a marked request crashes: it closes its
/// listening socket and all connections, and starts again at the same address under another
/// identifier. Runs on the event loop of the thread that created it.
class crashing_replica {
public:
    struct parameters {
        /// Prefix of its identifiers.
        std::string name;
        std::string service;
        /// Address to listen on; port zero for a free port.
        endpoint address;
        /// Keeper that receives the heartbeats.
        endpoint keeper;
        /// Time from the arrival of a request to its response.
        duration response_time{};
        /// A request whose body contains this text crashes the replica.
        std::string fatal_text;
        /// Time from the arrival of such a request to the crash.
        duration time_to_crash = std::chrono::milliseconds(90);
        duration restart_delay = std::chrono::seconds(3);
    };

    /// Fails if it can't listen.
    static outcome<std::unique_ptr<crashing_replica>> open(parameters arguments);

    /// Crashes it without a request.
    void kill();
    [[nodiscard]] const endpoint& address() const { return this->params.address; }
    /// When the run of each marked request began.
    [[nodiscard]] const std::vector<time_point>& fatal_runs() const {
        return this->fatal_run_times;
    }
    /// Identifiers of these runs' requests.
    [[nodiscard]] const std::vector<std::string>& fatal_requests() const {
        return this->fatal_request_ids;
    }
    /// When marked requests crashed it.
    [[nodiscard]] const std::vector<time_point>& crashes() const { return this->crash_times; }

private:
    explicit crashing_replica(parameters arguments);
    outcome<void> start();
    void restart();
    void crash();
    void send_heartbeat();

    parameters params;
    std::size_t starts = 0;
    std::vector<time_point> fatal_run_times;
    std::vector<std::string> fatal_request_ids;
    std::vector<time_point> crash_times;
    /// Null while it is down.
    std::unique_ptr<platform_replica> running;
    task::wakeup crash_timer;
    task::wakeup restart_timer;
    task::wakeup heartbeat_timer;
};

} // namespace kingcupcart::stand_ins
