#include "simulated_fleet.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace kingcupcart::permits {

namespace {

constexpr duration step = std::chrono::milliseconds(10);
/// One way between two regions.
constexpr duration message_time = std::chrono::milliseconds(20);
constexpr duration patience = std::chrono::seconds(1);
constexpr duration window = std::chrono::seconds(4);
const target_id target("target");
constexpr std::size_t max_waiting = 10;

} // namespace

simulated_fleet::simulated_fleet(std::size_t count, double rate, std::uint64_t seed)
    : rate(rate), random(seed) {
    for (std::size_t i = 0; i < count; ++i) {
        this->add_sender();
    }
    this->lose_issuer(duration::zero());
}

target_limit simulated_fleet::limit() const {
    return {target, incarnation_id(1), requests_per_second(this->rate), this->now};
}

std::unique_ptr<permit_account> simulated_fleet::make_account() {
    auto account = std::make_unique<permit_account>(permit_limits{}, this->random());
    account->apply(this->limit());
    return account;
}

void simulated_fleet::add_sender(double callers_per_second) {
    sender_state added;
    added.id = instance_id("sender" + std::to_string(this->senders.size()));
    added.account = this->make_account();
    added.load = callers_per_second;
    this->senders.push_back(std::move(added));
}

void simulated_fleet::set_load(std::size_t sender, double callers_per_second) {
    this->senders.at(sender).load = callers_per_second;
}

void simulated_fleet::set_total_load(double callers_per_second) {
    for (sender_state& sender : this->senders) {
        sender.load = callers_per_second / static_cast<double>(this->senders.size());
    }
}

void simulated_fleet::set_rate(double changed) {
    this->rate = changed;
    this->known_to_issuer.apply(this->limit());
    for (sender_state& sender : this->senders) {
        sender.account->apply(this->limit());
    }
}

void simulated_fleet::freeze_sender(std::size_t sender, duration time) {
    this->senders.at(sender).frozen_until = this->now + time;
}

void simulated_fleet::restart_all() {
    for (sender_state& sender : this->senders) {
        sender.account = this->make_account();
        sender.waiting.clear();
    }
    this->lose_issuer(std::chrono::seconds(1));
}

void simulated_fleet::lose_issuer(duration time) {
    this->issuer.reset();
    this->issuer_back_at = this->now + time;
}

time_point simulated_fleet::arrival_time() const {
    return std::max(this->now + message_time, this->held_until);
}

void simulated_fleet::run(duration time) {
    const time_point end = this->now + time;
    while (this->now < end) {
        this->now += step;
        if (!this->issuer && this->now >= this->issuer_back_at) {
            this->known_to_issuer = limit_table();
            this->known_to_issuer.apply(this->limit());
            this->issuer = std::make_unique<permit_issuer>(this->known_to_issuer, permit_limits{});
            this->issuer->set_authority(true);
            this->issuer->set_sender_count(this->senders.size());
        }
        this->deliver();
        for (std::size_t i = 0; i < this->senders.size(); ++i) {
            sender_state& sender = this->senders[i];
            if (sender.is_lost) {
                continue;
            }
            this->add_callers(sender);
            if (sender.frozen_until <= this->now) {
                this->send_requests(sender);
                this->send_demands(i);
            }
        }
        if (this->issuer) {
            this->send_grants(this->issuer->issue(this->now));
        }
    }
}

void simulated_fleet::add_callers(sender_state& sender) {
    const double mean = sender.load * std::chrono::duration<double>(step).count();
    std::poisson_distribution<int> count(mean);
    for (int i = mean > 0 ? count(this->random) : 0; i > 0; --i) {
        if (sender.waiting.size() < max_waiting) {
            sender.waiting.push_back(this->now + patience);
            sender.account->add_waiting(target);
        }
    }
}

void simulated_fleet::send_requests(sender_state& sender) {
    while (!sender.waiting.empty()) {
        const bool has_left = sender.waiting.front() <= this->now;
        if (!has_left && !sender.account->may_send(target, this->now)) {
            return;
        }
        sender.waiting.pop_front();
        sender.account->remove_waiting(target);
        if (!has_left) {
            sender.account->take(target, this->now);
            this->arrivals.push_back(this->now);
        }
    }
}

void simulated_fleet::send_demands(std::size_t index) {
    for (const permit_demand& demand : this->senders[index].account->collect_demands(this->now)) {
        this->demands.push_back({this->arrival_time(), index, demand});
    }
}

void simulated_fleet::send_grants(const std::vector<addressed_grant>& issued) {
    for (const addressed_grant& addressed : issued) {
        const auto recipient =
            std::find_if(this->senders.begin(), this->senders.end(),
                         [&](const sender_state& sender) { return sender.id == addressed.sender; });
        this->grants.push_back({this->arrival_time(),
                                static_cast<std::size_t>(recipient - this->senders.begin()),
                                addressed.grant});
    }
}

void simulated_fleet::deliver() {
    while (!this->demands.empty() && this->demands.front().arrives <= this->now) {
        const auto received = this->demands.front();
        this->demands.pop_front();
        if (this->issuer) {
            this->send_grants(this->issuer->handle(this->senders[received.sender].id,
                                                   received.content, this->now));
        }
    }
    std::deque<message<permit_grant>> later;
    for (const auto& received : std::exchange(this->grants, {})) {
        sender_state& sender = this->senders[received.sender];
        if (received.arrives > this->now || sender.frozen_until > this->now) {
            later.push_back(received);
        } else {
            sender.account->handle(received.content, this->now);
        }
    }
    this->grants = std::move(later);
}

std::size_t simulated_fleet::most_in_window() const {
    std::size_t most = 0;
    auto first = this->arrivals.begin();
    for (auto last = first; last != this->arrivals.end(); ++last) {
        while (*last - *first > window) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

std::size_t simulated_fleet::arrivals_since(time_point begin) const {
    return static_cast<std::size_t>(
        std::count_if(this->arrivals.begin(), this->arrivals.end(),
                      [&](const time_point& arrival) { return arrival >= begin; }));
}

} // namespace kingcupcart::permits
