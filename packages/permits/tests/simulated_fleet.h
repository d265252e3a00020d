#pragma once

#include "permits/limit_table.h"
#include "permits/permit_account.h"
#include "permits/permit_issuer.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace kingcupcart::permits {

/// Senders, an issuer and one limited target that counts what arrives, under simulated time.
/// Callers come at random and give up after a second.
class simulated_fleet {
public:
    simulated_fleet(std::size_t senders, double rate, std::uint64_t seed);

    /// Callers a second of each sender from now on.
    void set_load(std::size_t sender, double callers_per_second);
    void set_total_load(double callers_per_second);
    void set_rate(double rate);
    void add_sender(double callers_per_second = 0);
    /// The sender is gone for good.
    void lose_sender(std::size_t sender) { this->senders.at(sender).is_lost = true; }
    /// The sender neither sends nor receives for the time, while its callers go on.
    void freeze_sender(std::size_t sender, duration time);
    /// All senders and the issuer lose what they hold; the senders learn the limit again.
    void restart_all();
    /// The issuer is gone, and another one takes its place after the time.
    void lose_issuer(duration time);
    /// Messages on their way and later ones arrive at the end of this time only.
    void hold_messages(duration time) { this->held_until = this->now + time; }
    void run(duration time);

    /// Most arrivals at the target within any 4 s.
    [[nodiscard]] std::size_t most_in_window() const;
    [[nodiscard]] std::size_t arrivals_since(time_point begin) const;
    [[nodiscard]] time_point time() const { return this->now; }

private:
    struct sender_state {
        instance_id id;
        std::unique_ptr<permit_account> account;
        double load = 0;
        /// Until when each waiting caller stays.
        std::deque<time_point> waiting;
        time_point frozen_until{};
        bool is_lost = false;
    };
    template <typename Content>
    struct message {
        time_point arrives;
        std::size_t sender = 0;
        Content content;
    };

    [[nodiscard]] target_limit limit() const;
    [[nodiscard]] std::unique_ptr<permit_account> make_account();
    [[nodiscard]] time_point arrival_time() const;
    void add_callers(sender_state& sender);
    void send_requests(sender_state& sender);
    void send_demands(std::size_t index);
    void send_grants(const std::vector<addressed_grant>& grants);
    void deliver();

    time_point now = time_point{} + std::chrono::hours(1);
    double rate;
    std::mt19937_64 random;
    std::vector<sender_state> senders;
    limit_table known_to_issuer;
    std::unique_ptr<permit_issuer> issuer;
    time_point issuer_back_at{};
    time_point held_until{};
    std::deque<message<permit_demand>> demands;
    std::deque<message<permit_grant>> grants;
    std::vector<time_point> arrivals;
};

} // namespace kingcupcart::permits
