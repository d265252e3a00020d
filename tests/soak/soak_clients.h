#pragma once

#include "base/clock.h"
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

/// Callers, trainers and an operator, and what they find broken. They judge by what they and the
/// replicas see, and go on using connections that are open.
class soak_clients {
public:
    soak_clients(process_tests::deployment& on, soak_fleet& fleet, std::uint64_t seed);

    /// Puts the first configuration, and waits until requests and jobs are served.
    bool form(duration limit);
    /// Asks for something new now and then, and looks at what was answered.
    void act();
    /// Once everything is whole again: what was accepted is complete, and nothing ran twice.
    void check_end();

    [[nodiscard]] const std::vector<std::string>& broken() const { return this->findings; }
    void report(const std::string& finding) { this->findings.push_back(finding); }
    /// Counts of what was served, for a line at the end.
    [[nodiscard]] std::string summary() const;

private:
    struct pending {
        std::unique_ptr<process_tests::caller> call;
        std::function<void(const process_tests::caller&)> judge;
    };
    struct job {
        std::vector<std::string> items;
        std::uint64_t oldest_version = 1;
        bool is_accepted = false;
        time_point accepted{};
        /// As it was read first, by position.
        nlohmann::json results = nlohmann::json::array();
    };

    void begin(const http::request& wanted,
               std::function<void(const process_tests::caller&)> judge);
    void judge_ended();
    void book(bool is_repeatable);
    void submit(const std::string& name);
    void read_some_job();
    void read(const std::string& name);
    void take_results(const std::string& name, const nlohmann::json& said);
    void check_result(const std::string& name, const nlohmann::json& result);
    void put_configuration();
    void read_configuration();
    void name_weights();
    [[nodiscard]] std::string some_gateway();
    [[nodiscard]] std::string some_keeper();
    /// How often the replicas ran the request.
    [[nodiscard]] std::size_t runs_of(const std::string& name);

    process_tests::deployment& on;
    soak_fleet& fleet;
    std::mt19937_64 random;
    std::vector<pending> open;
    std::vector<std::string> findings;
    std::map<std::string, job> jobs;
    /// Answers to requests that must run once at most.
    std::map<std::string, int> orders;
    std::uint64_t last_name = 0;
    std::uint64_t sent_version = 0;
    std::uint64_t accepted_version = 0;
    time_point accepted_at{};
    std::uint64_t sent_weights = 1;
    std::uint64_t named_weights = 1;
    std::size_t served = 0;
    std::size_t refused = 0;
};

} // namespace kingcupcart::soak
