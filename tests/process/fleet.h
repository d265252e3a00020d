#pragma once

#include "base/clock.h"
#include "http/request.h"
#include "process/child_process.h"
#include "process/deployment.h"
#include "stand_ins/platform_replica.h"
#include "task/wakeup.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::process_tests {

/// Size and pace of a fleet's engines.
struct fleet_shape {
    int engines = 1;
    int slots = 4;
    /// Of each item's stream.
    int events = 5;
    duration event_interval{};
};

/// One gateway, keeper and store as processes on loopback addresses, with stand-in replicas that
/// tell the keeper of themselves, and the calls of the users' platform.
class fleet {
public:
    explicit fleet(deployment& on, fleet_shape shape = {});

    /// Sends the configuration and waits until the gateway serves it with both replicas.
    bool is_ready();
    bool says_ready();
    /// Another keeper that finds the fleet by the first one.
    child_process& add_keeper(const std::string& id, const std::string& ip, bool is_first = false);
    /// The same of another gateway.
    bool says_ready(const std::string& ip);
    /// Settings of a gateway at that address that finds the fleet by the keeper at `seed_ip`.
    [[nodiscard]] std::string gateway_settings(const std::string& id, const std::string& ip,
                                               const std::string& seed_ip) const;
    [[nodiscard]] std::string callers() const;
    /// The same of the gateway at that address.
    [[nodiscard]] std::string callers_at(const std::string& ip) const;
    child_process& gateway() { return *this->gateway_process; }
    child_process& store() { return *this->store_process; }
    stand_ins::platform_replica& engine() { return *this->models.front(); }
    void kill_store();
    void start_store();

    [[nodiscard]] http::request book(const std::string& name, const std::string& body) const;
    [[nodiscard]] http::request read_configuration() const;
    [[nodiscard]] http::request
    submit(const std::string& job, const std::vector<std::string>& items, int oldest_version) const;
    [[nodiscard]] http::request end(const std::string& job) const;
    [[nodiscard]] http::request name_weights(int version) const;
    /// Reads from the start until so many results are there.
    nlohmann::json results(const std::string& job, std::size_t count);
    [[nodiscard]] std::string text_of(const std::string& item) const;

private:
    [[nodiscard]] std::string settings_of(const std::string& id, const std::string& role,
                                          const std::string& rest,
                                          const std::string& seed_ip) const;
    [[nodiscard]] std::string fleet_lines(const std::string& seed_ip) const;
    void beat();

    deployment& on;
    fleet_shape shape;
    std::string link_port;
    std::string outer_port;
    std::unique_ptr<stand_ins::platform_replica> app;
    std::vector<std::unique_ptr<stand_ins::platform_replica>> models;
    child_process* gateway_process = nullptr;
    child_process* store_process = nullptr;
    task::wakeup beating;
};

} // namespace kingcupcart::process_tests
