#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "http/client.h"
#include "http/exchange.h"
#include "http/server.h"
#include "task/wakeup.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kingcupcart::stand_ins {

/// A replica that speaks the users' platform: answers requests and items, takes weights, and tells
/// keepers of itself. It runs on the loop of the thread that made it.
class platform_replica {
public:
    struct parameters {
        std::string id;
        std::string service;
        /// Empty for a plain service.
        std::string model;
        endpoint address;
        /// Where keepers take heartbeats.
        endpoint keeper;
        int events = 5;
        int slots = 4;
        /// Between two events of a stream; zero where all come at once.
        duration event_interval{};
    };

    static outcome<std::unique_ptr<platform_replica>> open(const parameters& arguments);

    /// Sends one heartbeat.
    void beat(const std::string& state = "ready");
    /// The same, at another keeper.
    void beat_at(const endpoint& keeper) {
        this->params.keeper = keeper;
        this->beat();
    }
    [[nodiscard]] const endpoint& address() const { return this->server->address(); }
    /// Heartbeats name this address from now on: a proxy's, say.
    void advertise(const endpoint& address) { this->params.address = address; }
    [[nodiscard]] std::uint64_t version() const { return this->weights; }
    /// Weights under which runs of the item began here.
    [[nodiscard]] const std::set<std::uint64_t>& versions_of(const std::string& item) {
        return this->item_versions[item];
    }
    /// Identifiers of the requests that ran here, in order.
    [[nodiscard]] const std::vector<std::string>& ran() const { return this->requests; }
    /// The next answers break off after so many events.
    void break_after(int events, int answers) {
        this->broken_events = events;
        this->broken_answers = answers;
    }

private:
    /// A stream that is not at its end yet.
    struct open_stream {
        std::unique_ptr<http::exchange> exchange;
        std::string name;
        int written = 0;
        int last = 0;
        bool is_broken = false;
    };

    explicit platform_replica(parameters arguments);
    void take(std::unique_ptr<http::exchange> exchange);
    void take_order(http::exchange& exchange);
    void report(http::exchange& exchange) const;
    void run(std::unique_ptr<http::exchange> exchange);
    void write_events();
    /// False once the stream is at its end.
    static bool write_event(open_stream& stream);

    parameters params;
    std::uint64_t weights = 1;
    std::uint64_t orders = 0;
    std::uint64_t beats = 0;
    int broken_events = 0;
    int broken_answers = 0;
    std::vector<std::string> requests;
    std::map<std::string, std::set<std::uint64_t>> item_versions;
    std::vector<open_stream> streams;
    task::wakeup writing;
    http::client client;
    std::vector<std::unique_ptr<http::client::call>> calls;
    std::unique_ptr<http::server> server;
};

/// What the stand-in makes of event `number` of an item.
[[nodiscard]] std::string platform_event(const std::string& item, int number);

} // namespace kingcupcart::stand_ins
