#include "base/manual_clock.h"
#include "relays/reach_table.h"
#include "relays/relay_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::relays;
using namespace std::chrono_literals;

namespace {

const backend_name chat("chat");
constexpr duration step = 10ms;
constexpr duration call_time = 200ms;
/// Time until the keepers know that an instance is cut off, or not any more.
constexpr duration report_delay = 50ms;
/// Calls wait for a link for this long at most.
constexpr duration max_wait = 700ms;
constexpr duration lookup_interval = 300ms;
constexpr std::size_t max_tries = 2;
constexpr double calls_per_second = 25;

/// The calls of a fleet of gateways, some of which are cut off from the backend. Links open, and
/// keepers answer, within one step.
class cut_fleet {
public:
    /// Each gateway serves `room` calls at a time, its own ones first.
    cut_fleet(std::size_t gateways, std::size_t domains, std::size_t room)
        : room(room), table(1), random(1) {
        this->time.advance(1h);
        for (std::size_t i = 0; i < gateways; ++i) {
            const relay id{instance_id("g" + std::to_string(i)),
                           {failure_domain_id(std::to_string(i % domains)), region_id("north")}};
            this->gateways.emplace_back(id, i + 1);
            this->index[id.id] = i;
            this->table.add(id);
        }
    }

    [[nodiscard]] std::vector<std::size_t> any(double share) {
        std::vector<std::size_t> chosen(this->gateways.size());
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            chosen[i] = i;
        }
        std::shuffle(chosen.begin(), chosen.end(), this->random);
        chosen.resize(static_cast<std::size_t>(share * static_cast<double>(chosen.size()) + 0.5));
        return chosen;
    }
    [[nodiscard]] std::vector<std::size_t> domain(std::size_t number, std::size_t domains) const {
        std::vector<std::size_t> chosen;
        for (std::size_t i = number; i < this->gateways.size(); i += domains) {
            chosen.push_back(i);
        }
        return chosen;
    }
    void cut(const std::vector<std::size_t>& chosen, bool is_cut = true) {
        for (const std::size_t i : chosen) {
            this->gateways[i].is_cut = is_cut;
            this->gateways[i].report_at = this->time.now() + report_delay;
        }
    }
    void run(duration span) {
        for (const time_point end = this->time.now() + span; this->time.now() < end;) {
            this->time.advance(step);
            this->send_reports();
            this->end_calls();
            this->start_calls();
            this->send_waiting();
        }
    }
    void reset_counts() {
        this->relayed = this->refused = this->own_calls = this->own_waits = 0;
        for (gateway& each : this->gateways) {
            each.served_for_others = 0;
        }
    }
    /// Calls that the busiest relay served for others, and the mean of all relays.
    [[nodiscard]] std::pair<double, double> busiest_and_mean() const {
        double relays = 0;
        double total = 0;
        double most = 0;
        for (const gateway& each : this->gateways) {
            const auto served = static_cast<double>(each.served_for_others);
            relays += each.is_cut ? 0 : 1;
            total += served;
            most = std::max(most, served);
        }
        return {most, total / relays};
    }
    [[nodiscard]] double refused_share() const {
        return static_cast<double>(this->refused) /
               static_cast<double>(this->refused + this->relayed);
    }

    /// Calls at gateways that are cut off.
    std::size_t relayed = 0;
    std::size_t refused = 0;
    std::size_t own_calls = 0;
    /// Steps that calls at gateways that are not cut off waited for room.
    std::size_t own_waits = 0;
    std::size_t lookups = 0;
    std::size_t dials = 0;

private:
    struct waiting_call {
        time_point since{};
        std::set<instance_id> tried;
    };
    struct gateway {
        gateway(relay id, std::uint64_t seed) : self(std::move(id)), choice(self.place, {}, seed) {}

        [[nodiscard]] std::size_t calls() const { return this->own_calls + this->calls_for_others; }

        relay self;
        relay_choice choice;
        bool is_cut = false;
        time_point report_at = time_point::max();
        time_point lookup_at{};
        /// Calls of its own callers, which go before those of others.
        std::size_t own_calls = 0;
        std::size_t own_waiting = 0;
        std::size_t calls_for_others = 0;
        std::size_t served_for_others = 0;
        std::vector<waiting_call> waiting;
        std::vector<instance_id> dialled;
    };
    struct running_call {
        time_point end{};
        std::size_t at = 0;
        /// The same as `at` for a call of its own callers.
        std::size_t origin = 0;
    };

    void send_reports() {
        for (gateway& each : this->gateways) {
            if (each.report_at <= this->time.now()) {
                each.report_at = time_point::max();
                this->table.set_cut_off(each.self.id,
                                        each.is_cut ? std::set{chat} : std::set<backend_name>());
            }
        }
    }
    void end_calls() {
        std::erase_if(this->running, [&](const running_call& call) {
            if (call.end > this->time.now()) {
                return false;
            }
            if (call.at == call.origin) {
                --this->gateways[call.at].own_calls;
            } else {
                --this->gateways[call.at].calls_for_others;
                this->gateways[call.origin].choice.call_ended(this->gateways[call.at].self.id,
                                                              this->time.now());
            }
            return true;
        });
    }
    void start_calls() {
        std::bernoulli_distribution arrives(calls_per_second *
                                            std::chrono::duration<double>(step).count());
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            gateway& each = this->gateways[i];
            if (!arrives(this->random)) {
                continue;
            }
            ++this->own_calls;
            if (each.is_cut) {
                each.waiting.push_back({this->time.now(), {}});
            } else {
                ++each.own_waiting;
            }
        }
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            gateway& each = this->gateways[i];
            while (each.own_waiting > 0 && each.calls() < this->room) {
                --each.own_waiting;
                ++each.own_calls;
                this->running.push_back({this->time.now() + call_time, i, i});
            }
            this->own_waits += each.own_waiting;
        }
    }
    void send_waiting() {
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            gateway& each = this->gateways[i];
            for (const instance_id& id : each.dialled) {
                each.choice.link_opened(id, this->time.now());
            }
            each.dialled.clear();
            if (!each.waiting.empty() && each.choice.is_scarce(chat, this->time.now()) &&
                each.lookup_at + lookup_interval <= this->time.now()) {
                this->look_up(each);
            }
            std::erase_if(each.waiting, [&](waiting_call& call) { return this->send(i, call); });
        }
    }
    void look_up(gateway& each) {
        ++this->lookups;
        each.lookup_at = this->time.now();
        std::vector<relay> candidates;
        for (const instance_id& id : this->table.draw(each.self, chat)) {
            candidates.push_back(this->gateways[this->index.at(id)].self);
        }
        each.choice.set_candidates(chat, candidates);
    }
    /// Returns whether the call waits no longer.
    bool send(std::size_t origin, waiting_call& call) {
        const time_point now = this->time.now();
        relay_choice& choice = this->gateways[origin].choice;
        while (call.tried.size() < max_tries) {
            const auto id = choice.choose(chat, call.tried, now);
            if (!id) {
                break;
            }
            gateway& chosen = this->gateways[this->index.at(*id)];
            if (chosen.is_cut || chosen.calls() >= this->room) {
                choice.call_refused(*id, chat, now);
                call.tried.insert(*id);
                continue;
            }
            choice.call_sent(*id);
            choice.call_accepted(*id, chat);
            this->dial(origin, {});
            ++chosen.calls_for_others;
            ++chosen.served_for_others;
            ++this->relayed;
            this->running.push_back({now + call_time, this->index.at(*id), origin});
            return true;
        }
        if (call.tried.size() == max_tries || now - call.since >= max_wait) {
            ++this->refused;
            return true;
        }
        this->dial(origin, call.tried);
        return false;
    }
    void dial(std::size_t origin, const std::set<instance_id>& tried) {
        gateway& each = this->gateways[origin];
        const time_point now = this->time.now();
        auto dialled = each.choice.choose_dials(chat, tried, now);
        const auto unused = each.choice.replaceable_link(chat, now);
        if (dialled.empty() && unused && !each.choice.is_dialling(chat, tried, now)) {
            each.choice.link_closed(*unused);
            dialled = each.choice.choose_dials(chat, tried, now);
        }
        for (const instance_id& id : dialled) {
            ++this->dials;
            each.choice.link_dialled(id);
            each.dialled.push_back(id);
        }
    }

    std::size_t room;
    manual_clock time;
    reach_table table;
    std::mt19937_64 random;
    std::vector<gateway> gateways;
    std::map<instance_id, std::size_t> index;
    std::vector<running_call> running;
};

constexpr std::size_t ample_room = 1000;

void check_served(cut_fleet& fleet) {
    fleet.run(1s);
    const std::size_t refused_at_first = std::exchange(fleet.refused, 0);
    fleet.reset_counts();
    constexpr duration span = 10s;
    fleet.run(span);
    const auto [most, mean] = fleet.busiest_and_mean();
    const double of_one_gateway = calls_per_second * std::chrono::duration<double>(span).count();
    MESSAGE("refused ", refused_at_first, " in the first second, then ", fleet.refused, " of ",
            fleet.refused + fleet.relayed, "; busiest relay ", most, ", mean ", mean, ", lookups ",
            fleet.lookups, ", dials ", fleet.dials);
    CHECK(fleet.refused == 0);
    // A relay serves one gateway or none where few are cut off.
    CHECK(most <= 2 * mean + of_one_gateway);
}

struct fleet_size {
    std::size_t gateways;
    std::size_t domains;
};

} // namespace

SCENARIO("gateways that are cut off spread their calls over the others") {
    for (const auto& [gateways, domains] :
         {fleet_size{3, 1}, fleet_size{9, 3}, fleet_size{249, 10}}) {
        const std::string name = "Given: " + std::to_string(gateways) + " gateways";
        SUBCASE(name.c_str()) {
            cut_fleet fleet(gateways, domains, ample_room);
            fleet.run(1s);
            WHEN("60% are cut off") {
                fleet.cut(fleet.any(0.6));
                THEN("each call is served, and no relay gets much more than others") {
                    check_served(fleet);
                }
            }
            if (domains > 1) {
                WHEN("a whole failure domain is cut off") {
                    fleet.cut(fleet.domain(1, domains));
                    THEN("each call is served, and no relay gets much more than others") {
                        check_served(fleet);
                    }
                }
            }
        }
    }
}

SCENARIO("relays that are full refuse little more than they have to") {
    // A gateway serves 5 calls at a time in the mean; those that are left, 12.5.
    const auto refused_with = [](std::size_t room) {
        cut_fleet fleet(249, 10, room);
        fleet.run(1s);
        fleet.cut(fleet.any(0.6));
        fleet.run(2s);
        fleet.reset_counts();
        fleet.run(10s);
        MESSAGE("room ", room, ": refused ", fleet.refused_share(), " of the relayed calls, ",
                static_cast<double>(fleet.refused) / static_cast<double>(fleet.own_calls),
                " of all");
        return fleet.refused_share();
    };
    GIVEN("relays with room for four times their calls") {
        CHECK(refused_with(20) < 0.02);
    }
    GIVEN("relays with room for two times their calls") {
        // Of 7.5 calls from others 5 find room, at least four fifths of which has to be used.
        CHECK(1 - refused_with(10) > 0.8 * 5 / 7.5);
    }
}

SCENARIO("cuts that overlap and flap leave callers served") {
    cut_fleet fleet(249, 10, ample_room);
    fleet.run(1s);
    GIVEN("a cut of 40%, and one of a domain that begins before it ends") {
        const auto first = fleet.any(0.4);
        fleet.cut(first);
        fleet.run(3s);
        const auto second = fleet.domain(2, 10);
        fleet.cut(second);
        fleet.run(3s);
        fleet.cut(first, false);
        fleet.cut(second);
        fleet.run(3s);
        CHECK(fleet.refused_share() < 0.01);
    }
    GIVEN("cuts of 40% that begin at other gateways before the last one ends") {
        std::size_t refused = 0;
        std::size_t relayed = 0;
        auto last = fleet.any(0.4);
        fleet.cut(last);
        for (int i = 0; i < 10; ++i) {
            const auto next = fleet.any(0.4);
            fleet.run(1s);
            fleet.cut(last, false);
            fleet.cut(next);
            fleet.run(1s);
            fleet.reset_counts();
            fleet.run(1s);
            refused += fleet.refused;
            relayed += fleet.relayed;
            last = next;
        }
        THEN("nearly all calls are served from 1 s after the last change") {
            MESSAGE("refused ", refused, " of ", refused + relayed);
            CHECK(refused * 20 < refused + relayed);
        }
    }
    GIVEN("a cut of half the gateways that flaps, at others each time, and stays then") {
        for (int i = 0; i < 20; ++i) {
            const auto chosen = fleet.any(0.5);
            fleet.cut(chosen);
            fleet.run(200ms);
            fleet.cut(chosen, false);
            fleet.run(100ms);
        }
        MESSAGE("while it flaps refused ", fleet.refused_share(), " of ",
                fleet.refused + fleet.relayed);
        fleet.cut(fleet.any(0.5));
        fleet.run(1s);
        fleet.reset_counts();
        fleet.run(5s);
        THEN("nearly all calls are served from 1 s after that") {
            MESSAGE("refused ", fleet.refused, " of ", fleet.refused + fleet.relayed);
            CHECK(fleet.refused_share() < 0.05);
        }
    }
}
