#pragma once

#include "base/clock.h"
#include "http/request.h"
#include "process/child_process.h"
#include "process/deployment.h"
#include "process/loopback_proxy.h"
#include "process/replica_paths.h"
#include "stand_ins/platform_replica.h"
#include "task/wakeup.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::soak {

/// Three keepers, three stores and three gateways as processes, each on its own loopback address,
/// and stand-in replicas, in this process, behind proxies that inject faults.
class soak_fleet {
public:
    enum class role { keeper, store, gateway };
    struct fleet_instance {
        role instance_role = role::gateway;
        std::string id;
        std::string ip;
        /// Null while the instance is down.
        std::unique_ptr<process_tests::child_process> process;
        /// Of a gateway, if gateways are to be cut off.
        std::unique_ptr<process_tests::replica_paths> paths;
        /// Cuts of its paths that go on.
        std::size_t cuts = 0;
        bool is_paused = false;
        bool is_stopping = false;
    };
    struct replica {
        std::unique_ptr<stand_ins::platform_replica> stand_in;
        std::unique_ptr<process_tests::loopback_proxy> proxy;
    };
    /// A time in which a plain service named a limit, in requests a second.
    struct limited_time {
        std::size_t service = 0;
        double rate = 0;
        time_point begin{};
        time_point end{};
    };

    /// Gateways can be cut off from replicas only if `has_cut_gateways`.
    soak_fleet(process_tests::deployment& test_deployment, bool has_cut_gateways);

    /// Restarts the instance if it is down, with its disk as it is.
    void start(fleet_instance& instance);
    /// Sends SIGKILL; also removes the data folder if `is_disk_lost`.
    void kill(fleet_instance& instance, bool is_disk_lost);
    /// Sends SIGTERM: a planned stop, after which `run_maintenance` restarts the instance.
    void terminate(fleet_instance& instance);
    void pause(fleet_instance& instance);
    void resume(fleet_instance& instance);
    /// The system refuses all writes of the process to files until `accept_writes`.
    void refuse_writes(fleet_instance& instance);
    void accept_writes(fleet_instance& instance);
    /// Cuts the gateway off from all replicas, until `heal` was called as often.
    static void cut(fleet_instance& gateway, process_tests::path_fault fault);
    static void heal(fleet_instance& gateway);
    /// The service names the limit, in requests a second, until `end_limit`.
    void begin_limit(std::size_t service, int rate);
    void end_limit(std::size_t service);
    /// One finding for each time in which a service got more than its limit allows.
    [[nodiscard]] std::vector<std::string> check_limits() const;
    /// Restarts instances that have exited. Returns one finding for each that exited unexpectedly.
    std::vector<std::string> run_maintenance();

    [[nodiscard]] fleet_instance& instance_at(role instance_role, std::size_t index);
    [[nodiscard]] std::vector<replica>& services() { return this->service_replicas; }
    [[nodiscard]] std::vector<replica>& engines() { return this->engine_replicas; }

    /// Half of them run another software version than the others.
    [[nodiscard]] std::vector<replica>& chats() { return this->chat_replicas; }

    [[nodiscard]] std::string callers_url(const fleet_instance& gateway) const;
    [[nodiscard]] std::string control_url(const fleet_instance& keeper) const;

    static constexpr std::size_t instances_per_role = 3;
    static constexpr int engine_events = 12;

private:
    [[nodiscard]] std::string instance_settings(const fleet_instance& instance,
                                                bool is_first_start) const;
    void add_replicas(std::vector<replica>& replicas, const std::string& service,
                      const std::string& model, std::size_t count);
    void add_replica(std::vector<replica>& replicas,
                     stand_ins::platform_replica::parameters arguments);
    void launch(fleet_instance& instance, bool is_first_start);
    void send_heartbeats();

    process_tests::deployment& test_deployment;
    std::string link_port;
    std::string external_port;
    /// Where gateways take calls of other gateways.
    std::string relay_port;
    std::vector<fleet_instance> instances;
    std::vector<replica> service_replicas;
    std::vector<replica> engine_replicas;
    std::vector<replica> chat_replicas;
    std::vector<limited_time> limited_times;
    std::size_t heartbeat_rounds = 0;
    task::wakeup heartbeat_timer;
};

} // namespace kingcupcart::soak
