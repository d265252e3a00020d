#pragma once

#include "base/clock.h"
#include "http/request.h"
#include "process/child_process.h"
#include "process/deployment.h"
#include "soak/loopback_proxy.h"
#include "stand_ins/platform_replica.h"
#include "task/wakeup.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::soak {

/// Three keepers, stores and gateways as processes on loopback addresses of their own, and stand-in
/// replicas behind proxies.
class soak_fleet {
public:
    enum class role { keeper, store, gateway };
    struct machine {
        role plays = role::gateway;
        std::string id;
        std::string ip;
        /// Null while it is down.
        std::unique_ptr<process_tests::child_process> process;
        bool is_paused = false;
        bool is_stopping = false;
    };
    struct replica {
        std::unique_ptr<stand_ins::platform_replica> stand_in;
        std::unique_ptr<loopback_proxy> proxy;
    };

    explicit soak_fleet(process_tests::deployment& on);

    /// Starts it again, with its disk as it is.
    void start(machine& one);
    void kill(machine& one, bool is_disk_lost);
    void terminate(machine& one);
    void pause(machine& one);
    void go_on(machine& one);
    /// Starts what has stopped, and says what ended by itself.
    std::vector<std::string> run_maintenance();

    [[nodiscard]] machine& pick(role plays, std::size_t number);
    [[nodiscard]] std::vector<replica>& services() { return this->apps; }
    [[nodiscard]] std::vector<replica>& engines() { return this->models; }

    [[nodiscard]] std::string callers_of(const machine& gateway) const;
    [[nodiscard]] std::string control_of(const machine& keeper) const;

    static constexpr std::size_t machines_a_role = 3;
    static constexpr int engine_events = 12;

private:
    [[nodiscard]] std::string settings_of(const machine& one, bool is_first_start) const;
    void add_replicas(std::vector<replica>& to, const std::string& service,
                      const std::string& model, std::size_t count);
    void run(machine& one, bool is_first_start);
    void beat();

    process_tests::deployment& on;
    std::string link_port;
    std::string outer_port;
    std::vector<machine> machines;
    std::vector<replica> apps;
    std::vector<replica> models;
    std::size_t beats = 0;
    task::wakeup beating;
};

} // namespace kingcupcart::soak
