#pragma once

#include "quarantine/crash_account.h"
#include "quarantine/crash_registry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace kingcupcart::quarantine {

/// What callers send to a simulated fleet.
struct simulated_request {
    request_fingerprint fingerprint;
    /// The request crashes its target after it has run for this time; empty if it crashes none.
    std::optional<duration> crash_after;
    duration run_time = std::chrono::milliseconds(50);
    duration deadline = std::chrono::seconds(6);
    std::size_t max_attempts = 3;
};

/// Senders, two keepers of which one leads, and targets that restart some seconds after they ended,
/// under simulated time. Senders retry as the dispatcher does.
class simulated_fleet {
public:
    struct settings {
        std::size_t senders = 3;
        std::size_t targets = 12;
        bool has_quarantine = true;
        std::uint64_t seed = 1;
        quarantine_limits limits;
    };
    struct outcome_counts {
        std::size_t served = 0;
        std::size_t refused = 0;
        std::size_t failed = 0;
    };

    explicit simulated_fleet(const settings& chosen);

    void arrive(std::size_t sender, const simulated_request& request);
    /// Kills this fraction of the running targets.
    void kill_targets(double part);
    /// Resets the connections to all targets, which keep running.
    void reset_connections();
    /// All targets announce that they are leaving, and close their connections.
    void leave_targets();
    /// Partitions the sender from the keepers for this time, but not from targets and callers.
    void cut_sender(std::size_t sender, duration time);
    /// Restarts the sender, which loses its requests and its state.
    void restart_sender(std::size_t sender);
    /// The leading keeper is lost, and another one leads after this time.
    void lose_leader(duration time);
    void run(duration time);
    /// Advances the time without simulating events.
    void skip(duration time);

    /// Number of sends later than 4 s after the third target ended under the request, by senders
    /// that had been connected to the keepers for 4 s.
    [[nodiscard]] std::size_t late_sends(const request_fingerprint& fingerprint) const;
    [[nodiscard]] std::size_t targets_ended(const request_fingerprint& fingerprint) const;
    [[nodiscard]] std::size_t sends(const request_fingerprint& fingerprint) const;
    [[nodiscard]] outcome_counts outcomes(const request_fingerprint& fingerprint) const;
    /// Outcomes of all requests but this one.
    [[nodiscard]] outcome_counts other_outcomes(const request_fingerprint& fingerprint) const;
    [[nodiscard]] std::size_t open_requests() const { return this->requests.size(); }
    [[nodiscard]] const crash_account& account(std::size_t sender) const {
        return *this->senders.at(sender).account;
    }
    [[nodiscard]] const crash_registry& leader() const { return *this->keepers[this->leading]; }
    [[nodiscard]] std::size_t messages() const { return this->sent_messages; }
    /// Most bytes that the leading keeper sent and received within a second, with 64 bytes for a
    /// message and 48 for each target that it names.
    [[nodiscard]] std::size_t most_bytes_a_second() const;
    [[nodiscard]] time_point time() const { return this->now; }

private:
    struct sender_state {
        instance_id id;
        std::unique_ptr<crash_account> account;
        time_point cut_until{};
        time_point in_touch_since{};
        bool is_cut = false;
    };
    struct target_state {
        target_id id;
        incarnation_id incarnation;
        bool is_leaving = false;
        time_point back_at{};
        bool is_up = true;
    };
    struct request_state {
        std::uint64_t number = 0;
        simulated_request request;
        std::size_t sender = 0;
        time_point deadline{};
        std::size_t attempts = 0;
        std::optional<attempt_id> running;
        bool waits = false;
        std::set<std::size_t> tried;
    };
    struct attempt_state {
        std::uint64_t request = 0;
        std::size_t target = 0;
        std::optional<time_point> crashes_at;
        time_point ends_at{};
    };
    struct check {
        time_point due{};
        std::size_t sender = 0;
        std::size_t target = 0;
        incarnation_id incarnation;
    };
    template <typename Content>
    struct message {
        time_point arrives{};
        std::size_t sender = 0;
        Content content;
    };
    struct send_record {
        time_point at{};
        bool is_in_touch = false;
    };

    void try_send(request_state& request);
    void stop_waiting(request_state& request);
    void finish(std::uint64_t number, std::size_t outcome_counts::*outcome);
    void end_attempt(attempt_id attempt, attempt_end how);
    void end_target(std::size_t target);
    void step();
    void end_runs();
    void check_targets();
    void connect(std::size_t sender);
    void exchange_messages();
    void count_bytes(std::size_t bytes, std::size_t copies);

    settings chosen;
    time_point now = time_point{} + std::chrono::hours(1);
    std::mt19937_64 random;
    std::vector<sender_state> senders;
    std::vector<target_state> targets;
    std::vector<std::unique_ptr<crash_registry>> keepers;
    std::size_t leading = 0;
    std::optional<time_point> leader_at;
    std::map<std::uint64_t, request_state> requests;
    std::map<attempt_id, attempt_state> attempts;
    std::vector<check> checks;
    std::deque<message<account_message>> to_keepers;
    std::deque<message<registry_message>> to_senders;
    std::map<request_fingerprint, std::vector<send_record>> send_records;
    std::map<request_fingerprint, std::vector<time_point>> crash_times;
    std::map<request_fingerprint, outcome_counts> outcome_records;
    std::map<std::int64_t, std::size_t> bytes;
    std::uint64_t last_request = 0;
    std::uint64_t last_attempt = 0;
    std::uint64_t last_incarnation = 0;
    std::size_t sent_messages = 0;
};

} // namespace kingcupcart::quarantine
