#pragma once

#include "base/clock.h"
#include "http/request.h"
#include "process/child_process.h"
#include "process/deployment.h"
#include "stand_ins/crashing_replica.h"
#include "stand_ins/platform_replica.h"
#include "task/wakeup.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::process_tests {

/// Number, capacity and speed of a fleet's engines.
struct fleet_options {
    int engines = 1;
    /// Concurrent runs per engine.
    int slots = 4;
    /// Events in each item's stream.
    int events = 5;
    /// Time between the events of a stream; zero to write them all at once.
    duration event_interval{};
    /// Number of keepers, and of stores. A group of three tolerates the loss of one member.
    std::size_t group_size = 1;
    /// Number of replicas of the service "app".
    std::size_t services = 1;
    /// Environment variables of the first gateway.
    std::vector<std::string> gateway_environment = {};
    /// Further groups of the settings of all instances.
    std::string further_settings = {};
    /// Lines of the section [log] of all instances.
    std::string log_settings = "level = error\n";
    /// Further lines of the section [gateway].
    std::string gateway_lines = {};
    /// The field `scaling` of the engines' service, in JSON; empty for none.
    std::string engine_scaling = {};
};

/// One gateway, and keepers and stores, as processes on loopback addresses, and stand-in replicas,
/// in this process, that send heartbeats to the first keeper. Also builds the platform's requests.
class fleet {
public:
    explicit fleet(deployment& test_deployment, fleet_options options = {});

    /// The memory that the instances of a role may use, in megabytes.
    [[nodiscard]] static int memory_mb(const std::string& role);

    /// Sends the configuration and waits until the gateway serves requests and a first batch job;
    /// false if it doesn't.
    bool wait_until_ready();
    /// Whether the first gateway's readiness check returns status 200.
    bool reports_ready();
    /// Starts another keeper, which joins the fleet through the first one.
    child_process& add_keeper(const std::string& id, const std::string& ip, bool is_first = false);
    /// Whether the readiness check of the gateway at that address returns status 200.
    bool reports_ready(const std::string& ip);
    /// Settings of a gateway at that address that discovers the fleet through the keeper at
    /// `seed_ip`.
    [[nodiscard]] std::string gateway_settings(const std::string& id, const std::string& ip,
                                               const std::string& seed_ip) const;
    /// The base URL for callers of the first gateway.
    [[nodiscard]] std::string callers() const;
    /// The base URL for callers of the gateway at that address.
    [[nodiscard]] std::string callers_at(const std::string& ip) const;
    child_process& gateway() { return *this->gateway_process; }
    child_process& store(std::size_t index = 0) { return *this->store_processes.at(index); }
    child_process& keeper(std::size_t index) { return *this->keeper_processes.at(index); }
    /// The size of the journal of a keeper or store, in bytes.
    [[nodiscard]] std::size_t keeper_journal_size(std::size_t index) const;
    [[nodiscard]] std::size_t store_journal_size(std::size_t index) const;
    stand_ins::platform_replica& engine() { return *this->engine_replicas.front(); }
    stand_ins::platform_replica& service(std::size_t index = 0) {
        return *this->service_replicas.at(index);
    }
    void kill_store(std::size_t index = 0);
    /// Kills a keeper and starts it again on the same data folder.
    void restart_keeper(std::size_t index = 0);
    /// Whether the replicas send heartbeats, which they do from the start.
    void set_heartbeats(bool are_sent) { this->sends_heartbeats = are_sent; }
    /// The deregistration of the plain service's replica.
    [[nodiscard]] http::request deregister_service_request() const;
    /// Starts or restarts a store on the same data folder. For `max_file_size` see
    /// `child_process`.
    void start_store(std::size_t index = 0, rlim_t max_file_size = RLIM_INFINITY);

    /// Starts a replica of the service "plain", which has no other ones. Its requests take
    /// `response_time`; those whose body contains `fatal_text` crash it.
    [[nodiscard]] std::unique_ptr<stand_ins::crashing_replica>
    add_plain_replica(const std::string& name, const std::string& fatal_text,
                      duration response_time = duration::zero()) const;
    /// Starts a replica of the service "chat", which has no other ones. The data of each event of
    /// its streams begins with the version of its software.
    [[nodiscard]] std::unique_ptr<stand_ins::platform_replica>
    add_chat_replica(const std::string& name, const std::string& software, int events,
                     duration event_interval) const;
    /// A request to the service "plain", for the gateway at the address.
    [[nodiscard]] http::request plain_request(const std::string& ip, const std::string& name,
                                              const std::string& body) const;
    [[nodiscard]] http::request booking_request(const std::string& name,
                                                const std::string& body) const;
    [[nodiscard]] http::request read_configuration_request(std::size_t keeper_index = 0) const;
    [[nodiscard]] http::request put_configuration_request(int version,
                                                          std::size_t keeper_index = 0) const;
    [[nodiscard]] http::request submit_job_request(const std::string& job,
                                                   const std::vector<std::string>& items,
                                                   int required_version) const;
    /// The same with a score request for each item, which the plain service answers.
    [[nodiscard]] http::request submit_scored_job_request(const std::string& job,
                                                          const std::vector<std::string>& items,
                                                          const std::string& scorer_path) const;
    /// The identifier of the item's score request.
    [[nodiscard]] static std::string score_request_id(const std::string& item) {
        return "score-" + item;
    }
    [[nodiscard]] http::request end_job_request(const std::string& job) const;
    [[nodiscard]] http::request publish_weights_request(int version) const;
    /// Reads the job's results from the first position until there are `count`; returns what was
    /// read if there are fewer after 30 s.
    nlohmann::json results(const std::string& job, std::size_t count);
    /// The complete text that an engine generates for the item.
    [[nodiscard]] std::string expected_item_text(const std::string& item) const;

private:
    [[nodiscard]] std::string instance_settings(const std::string& id, const std::string& role,
                                                const std::string& role_settings,
                                                const std::string& seed_ip) const;
    [[nodiscard]] std::string discovery_settings(const std::string& seed_ip) const;
    [[nodiscard]] std::string control_url(std::size_t keeper_index) const;
    /// Losses of members that a group of keepers or stores tolerates.
    [[nodiscard]] std::size_t tolerated_losses() const {
        return (this->options.group_size - 1) / 2;
    }
    void send_heartbeats();

    deployment& test_deployment;
    fleet_options options;
    std::string link_port;
    std::string external_port;
    /// Where gateways take calls of other gateways.
    std::string relay_port;
    std::vector<std::unique_ptr<stand_ins::platform_replica>> service_replicas;
    std::vector<std::unique_ptr<stand_ins::platform_replica>> engine_replicas;
    bool sends_heartbeats = true;
    std::vector<child_process*> keeper_processes;
    child_process* gateway_process = nullptr;
    std::vector<child_process*> store_processes;
    task::wakeup heartbeat_timer;
};

} // namespace kingcupcart::process_tests
