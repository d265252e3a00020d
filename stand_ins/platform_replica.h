#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "base/system_clock.h"
#include "http/client.h"
#include "http/exchange.h"
#include "http/server.h"
#include "task/wakeup.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcupcart::stand_ins {

/// A stand-in for a replica that uses the users' platform's protocol: it serves requests and items,
/// accepts load orders for weights, and sends heartbeats to keepers when the test calls for one.
/// Runs on the event loop of the thread that created it.
class platform_replica {
public:
    struct parameters {
        std::string id;
        std::string service;
        /// Name of the model; empty for a plain service.
        std::string model;
        /// Address to listen on; port zero for a free port.
        endpoint address;
        /// Keeper that receives the heartbeats.
        endpoint keeper;
        /// Number of events in the stream of an item.
        int events = 5;
        int slots = 4;
        /// Time between the events of a stream; zero to write them all at once.
        duration event_interval{};
        /// Version of the replica's software.
        std::string software = "v1";
        /// Whether the data of each event begins with the version of the replica's software.
        bool events_state_software = false;
        /// Start time that heartbeats state, in milliseconds since 1970.
        std::uint64_t started_at_ms = start_time();
        /// Time from the arrival of a request to a plain service to its response.
        duration response_time{};
        /// A request to a plain service whose body contains this text gets no response; none does
        /// if it is empty.
        std::string fatal_text = {};
        /// Called with the request's identifier when a run of such a request begins.
        std::function<void(const std::string&)> on_fatal_run = {};
    };

    /// Fails if it can't listen.
    static outcome<std::unique_ptr<platform_replica>> open(const parameters& arguments);

    /// Sends one heartbeat to the current keeper, without waiting for its response.
    void send_heartbeat(const std::string& state = "ready");
    /// Sends one heartbeat to `keeper`, which becomes the current keeper.
    void send_heartbeat_to(const endpoint& keeper) {
        this->params.keeper = keeper;
        this->send_heartbeat();
    }
    [[nodiscard]] const endpoint& address() const { return this->server->address(); }
    /// Sets the address that later heartbeats advertise, such as that of a proxy.
    void advertise(const endpoint& address) { this->params.address = address; }
    /// Version of the weights that the last load order named.
    [[nodiscard]] std::uint64_t weight_version() const { return this->loaded_version; }
    /// Versions of the weights with which this replica started runs of the item.
    [[nodiscard]] const std::set<std::uint64_t>& item_weight_versions(const std::string& item) {
        return this->item_versions[item];
    }
    /// The start time that heartbeats state unless the parameters name another one, in milliseconds
    /// since 1970.
    [[nodiscard]] static std::uint64_t start_time();
    /// Identifiers of the requests that this replica has run, in order of arrival.
    [[nodiscard]] const std::vector<std::string>& executed_request_ids() const {
        return this->executed_requests;
    }
    /// Header fields of the last request with this identifier.
    [[nodiscard]] const std::vector<header_field>& received_headers(const std::string& request) {
        return this->headers_by_request[request];
    }
    /// Identifiers of the streams whose client disconnected before their end.
    [[nodiscard]] const std::vector<std::string>& disconnected_stream_ids() const {
        return this->disconnected_streams;
    }
    /// Makes the next `responses` streams stop after `events` events, with the response
    /// incomplete.
    void interrupt_responses_after(int events, int responses) {
        this->events_before_interrupt = events;
        this->responses_to_interrupt = responses;
    }

    /// Makes the next `requests` requests to a plain service fail with status 500.
    void fail_requests(int requests) { this->requests_to_fail = requests; }
    /// Adds the header of a leaving replica to all responses, and leaves the heartbeats unchanged.
    void announce_leaving_in_responses() { this->says_leaving = true; }
    /// Sets the text of the limit header that all responses carry; none if it is empty.
    void name_limit(std::string text) { this->limit = std::move(text); }
    /// When each request to be run arrived, in order.
    [[nodiscard]] const std::vector<time_point>& arrivals() const { return this->arrival_times; }
    /// Makes a plain service leave requests unanswered.
    void hold_responses(bool is_held) { this->holds_responses = is_held; }
    /// Answers the requests that were held so far.
    void answer_held_requests();

private:
    /// A stream with events left to write.
    struct open_stream {
        std::unique_ptr<http::exchange> exchange;
        std::string identifier;
        /// Number of the last event written; at the start, of the last event that the client has
        /// already received.
        int events_written = 0;
        /// Number of the last event to write.
        int last_event = 0;
        /// Whether the response stays incomplete after the last event.
        bool is_interrupted = false;
        /// What the data of each event begins with.
        std::string prefix = {};
    };

    explicit platform_replica(parameters arguments);
    void handle_request(std::unique_ptr<http::exchange> exchange);
    void handle_load_order(http::exchange& exchange);
    void send_report(http::exchange& exchange) const;
    void run_request(std::unique_ptr<http::exchange> exchange);
    void run_service_request(std::unique_ptr<http::exchange> exchange);
    void write_events();
    void answer_due_requests();
    /// Writes the stream's next event. Returns false once no event is left.
    static bool write_event(open_stream& stream);

    parameters params;
    std::uint64_t loaded_version = 1;
    /// Number of load orders accepted, which an order may state as a precondition.
    std::uint64_t accepted_orders = 0;
    std::uint64_t heartbeats_sent = 0;
    int events_before_interrupt = 0;
    int responses_to_interrupt = 0;
    int requests_to_fail = 0;
    bool holds_responses = false;
    bool says_leaving = false;
    std::string limit;
    std::vector<time_point> arrival_times;
    std::vector<std::string> executed_requests;
    std::map<std::string, std::vector<header_field>> headers_by_request;
    std::vector<std::string> disconnected_streams;
    std::map<std::string, std::set<std::uint64_t>> item_versions;
    std::vector<open_stream> streams;
    task::wakeup write_timer;
    task::wakeup response_timer;
    system_clock time;
    http::client client;
    std::vector<std::unique_ptr<http::client::call>> heartbeat_calls;
    std::unique_ptr<http::server> server;
    /// Destroyed before the server, which owns their connections.
    std::vector<std::unique_ptr<http::exchange>> held_exchanges;
    /// Requests by the time at which they are answered.
    std::deque<std::pair<time_point, std::unique_ptr<http::exchange>>> running_exchanges;
};

/// Data of event `number` (from 1) in the stream of an item.
[[nodiscard]] std::string expected_event(const std::string& item, int number);

} // namespace kingcupcart::stand_ins
