#pragma once

#include "base/clock.h"
#include "process/client_stream.h"
#include "process/deployment.h"
#include "soak/soak_fleet.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kingcupcart::soak {

/// Acts as callers, trainers and an operator, and records violated guarantees as findings. Checks
/// only what these clients and the replicas observe. Keeps using open connections.
class soak_clients {
public:
    soak_clients(process_tests::deployment& test_deployment, soak_fleet& fleet, std::uint64_t seed);

    /// Sends the first configuration and waits until requests and jobs are accepted; false if they
    /// aren't within `limit`.
    bool wait_until_serving(duration limit);
    /// Starts one random call and checks the responses that have arrived. Never waits.
    void run_random_action();
    /// Called after all faults are removed: checks that accepted jobs complete, that requests are
    /// served, and that no request ran more often than it may.
    void check_final_state();

    [[nodiscard]] const std::vector<std::string>& reported_findings() const {
        return this->findings;
    }
    void report(const std::string& finding) { this->findings.push_back(finding); }
    /// Counters for the line that each seed prints at its end, as `key=value`.
    [[nodiscard]] std::string summary() const;

private:
    struct pending_call {
        std::unique_ptr<process_tests::client_call> call;
        std::function<void(const process_tests::client_call&)> on_complete;
    };
    struct open_stream {
        std::unique_ptr<process_tests::client_stream> stream;
        /// The client leaves after this event.
        int leave_after = 0;
        bool goes_on = false;
    };
    struct job {
        std::vector<std::string> items;
        std::uint64_t required_version = 1;
        bool is_accepted = false;
        time_point accepted_at{};
        /// Each result as it was first read, by position; it must never change.
        nlohmann::json results = nlohmann::json::array();
    };

    /// Starts a call; `on_complete` checks its complete response and isn't called for a broken one.
    void begin(const http::request& request,
               std::function<void(const process_tests::client_call&)> on_complete);
    void process_completed_calls();
    void send_booking(bool is_repeatable);
    void begin_stream();
    /// Lets clients leave their streams after some events and take them up at any gateway.
    void update_streams();
    void submit_job(const std::string& name);
    void read_random_job();
    void read_results(const std::string& name);
    void record_results(const std::string& name, const nlohmann::json& response);
    void check_result(const std::string& name, const nlohmann::json& result);
    void put_configuration();
    void read_configuration();
    void publish_weights();
    [[nodiscard]] std::string random_gateway();
    [[nodiscard]] std::string random_keeper();
    /// How many times the replicas ran the request, all together.
    [[nodiscard]] std::size_t run_count(const std::string& name);

    process_tests::deployment& test_deployment;
    soak_fleet& fleet;
    std::mt19937_64 random;
    std::vector<pending_call> pending_calls;
    std::vector<std::string> findings;
    std::map<std::string, job> jobs;
    std::vector<open_stream> streams;
    /// Status codes of requests that must run at most once, by request ID; 0 until a response
    /// arrives.
    std::map<std::string, int> at_most_once_statuses;
    std::uint64_t last_request_number = 0;
    std::uint64_t sent_configuration_version = 0;
    std::uint64_t accepted_configuration_version = 0;
    time_point configuration_accepted_at{};
    std::uint64_t sent_weights = 1;
    std::uint64_t published_weights = 1;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t new_streams = 0;
    std::size_t streams_begun = 0;
    std::size_t take_ups = 0;
    std::size_t take_ups_going_on = 0;
};

} // namespace kingcupcart::soak
