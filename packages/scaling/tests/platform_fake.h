#pragma once

#include "scaling/replica_scaler.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcupcart::scaling {

inline const backend_name test_service("llm");

/// A platform that executes orders after a boot time, and can be made to fail in each way that the
/// scaler has to cope with. Time advances in steps of 100 ms.
class platform_fake {
public:
    explicit platform_fake(std::int64_t max, std::vector<double> prices = {0.8, 1.0, 1.25}) {
        scaled_service service{test_service, slot_count(8), {}};
        service.rules.max = replica_count(max);
        for (std::size_t i = 0; i < prices.size(); ++i) {
            service.rules.prices[failure_domain_id(std::string("d") + std::to_string(i))] =
                relative_price(prices[i]);
        }
        this->rules.services = {service};
        this->send(this->rules);
    }

    void send(const scaler_message& message) {
        for (const scaler_action& action : this->scaler.handle(message, this->now)) {
            if (const auto* order = std::get_if<order_replicas>(&action)) {
                this->orders.push_back(*order);
                this->has_two_open =
                    this->has_two_open ||
                    std::any_of(this->open.begin(), this->open.end(), [&](const auto& call) {
                        return call.order.domain == order->domain;
                    });
                this->open.push_back({*order, this->now + std::chrono::milliseconds(100)});
            } else {
                this->missing.push_back(std::get<replicas_missing>(action));
            }
        }
    }

    void start(const std::string& domain, int count, replica_kind kind = replica_kind::normal) {
        for (int i = 0; i < count; ++i) {
            const target_id id("r" + std::to_string(this->last_replica++));
            const replica_pool pool{test_service, failure_domain_id(domain), kind};
            this->replicas[id] = pool;
            this->send(replica_updated{id, pool.service, pool.domain, kind, false});
        }
    }
    void lose(const std::string& domain, int count, replica_kind kind = replica_kind::normal) {
        for (; count > 0; --count) {
            const target_id id = this->find(domain, kind);
            this->replicas.erase(id);
            this->send(replica_removed{id});
        }
    }
    /// The platform announces that it ends all spot replicas of the domain.
    void reclaim(const std::string& domain) {
        for (const auto& [id, pool] : std::map(this->replicas)) {
            if (pool.domain == failure_domain_id(domain) && pool.kind == replica_kind::spot) {
                this->replicas.erase(id);
                this->send(replica_updated{id, pool.service, pool.domain, pool.kind, true});
            }
        }
    }
    /// Another keeper leads: a scaler that has heard the same announcements, and no outcomes.
    void change_leader() {
        this->send(authority_changed{false});
        this->open.clear();
        this->send(authority_changed{true});
    }

    void run(duration time) {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += std::chrono::milliseconds(100);
            this->respond();
            this->boot();
            if (this->load && this->now >= this->next_report) {
                this->next_report = this->now + std::chrono::seconds(1);
                this->send(load_report{test_service, {*this->load}});
            }
            this->send(timer_expired{});
            for (const auto& [id, pool] : this->replicas) {
                this->replica_seconds += pool.kind == replica_kind::spot ? 0.022 : 0.1;
            }
        }
    }

    [[nodiscard]] std::int64_t count(const std::string& domain,
                                     replica_kind kind = replica_kind::normal) const {
        return std::count_if(this->replicas.begin(), this->replicas.end(), [&](const auto& entry) {
            return entry.second.domain == failure_domain_id(domain) && entry.second.kind == kind;
        });
    }
    [[nodiscard]] std::int64_t total() const {
        return std::count_if(this->replicas.begin(), this->replicas.end(), [](const auto& entry) {
            return entry.second.kind == replica_kind::normal;
        });
    }
    void set_demand(std::int64_t slots_of_a_step) {
        this->load = model_load{model_name("m"), slot_count(slots_of_a_step), {}, {}};
    }

    services_changed rules;
    replica_scaler scaler;
    time_point now{};
    std::optional<model_load> load;
    std::vector<order_replicas> orders;
    std::vector<replicas_missing> missing;
    /// Domains that have no replicas of a kind left.
    std::set<std::pair<std::string, replica_kind>> exhausted;
    /// Domains whose orders are rejected.
    std::set<std::string> rejected;
    /// Domains in which accepted orders have no effect.
    std::set<std::string> ineffective;
    bool is_out = false;
    /// Orders are executed, and their responses are lost.
    bool loses_responses = false;
    /// Two orders for a domain were open at the same time.
    bool has_two_open = false;
    bool is_busy = false;
    double replica_seconds = 0;

private:
    struct open_call {
        order_replicas order;
        time_point due;
    };

    target_id find(const std::string& domain, replica_kind kind) const {
        return std::find_if(this->replicas.begin(), this->replicas.end(),
                            [&](const auto& entry) {
                                return entry.second.domain == failure_domain_id(domain) &&
                                       entry.second.kind == kind;
                            })
            ->first;
    }

    void respond() {
        for (const open_call& call : std::exchange(this->open, {})) {
            if (call.due > this->now) {
                this->open.push_back(call);
                continue;
            }
            const order_replicas& order = call.order;
            const std::string domain = order.domain.value();
            order_result result = order_result::accepted;
            const replica_pool pool{order.service, order.domain, order.kind};
            if (this->is_out) {
                result = order_result::unknown;
            } else if (this->is_busy) {
                result = order_result::busy;
            } else if (this->rejected.contains(domain)) {
                result = order_result::refused;
            } else if (this->exhausted.contains({domain, order.kind})) {
                result = order_result::none_available;
            } else if (!this->ineffective.contains(domain)) {
                this->execute(pool, order.desired.count());
                result = this->loses_responses ? order_result::unknown : result;
            }
            this->send(order_response{order.service, order.domain, order.number, result});
        }
    }
    void execute(const replica_pool& pool, std::int64_t desired) {
        const std::int64_t present = this->count(pool.domain.value(), pool.kind);
        auto& waiting = this->booting[pool];
        waiting.resize(static_cast<std::size_t>(std::max<std::int64_t>(0, desired - present)),
                       this->now + std::chrono::seconds(4));
        for (std::int64_t i = desired; i < present; ++i) {
            const target_id id = this->find(pool.domain.value(), pool.kind);
            this->replicas.erase(id);
            this->send(replica_updated{id, pool.service, pool.domain, pool.kind, true});
        }
    }
    void boot() {
        for (auto& [pool, due] : this->booting) {
            const auto ready =
                std::count_if(due.begin(), due.end(), [&](time_point at) { return at <= now; });
            std::erase_if(due, [&](time_point at) { return at <= now; });
            this->start(pool.domain.value(), static_cast<int>(ready), pool.kind);
        }
    }

    std::map<target_id, replica_pool> replicas;
    std::map<replica_pool, std::vector<time_point>> booting;
    std::vector<open_call> open;
    time_point next_report{};
    int last_replica = 0;
};

} // namespace kingcupcart::scaling
