#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/location.h"
#include "base/request_fingerprint.h"
#include "base/response_limits.h"
#include "engines/target_protocol.h"
#include "fleet/keeper_client.h"
#include "forwarding/call_parameters.h"
#include "http/client.h"
#include "http/response_budget.h"
#include "membership/directory_change.h"
#include "requests/dispatcher.h"
#include "routes/route.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupcart::relaying {

class relay_client;

} // namespace kingcupcart::relaying

namespace kingcupcart::forwarding {

class forwarded_call;
class path_monitor;
class target_checks;

/// Forwards requests to the targets of their routes: executes the actions of the request dispatcher
/// on the event loop of the thread that created it.
class forwarder {
public:
    struct parameters {
        location place;
        const clock* time = nullptr;
        std::uint64_t seed = 0;
        engines::target_protocol protocol;
        /// Routes and targets; its owner reports changes to this object.
        fleet::keeper_client* fleet = nullptr;
        telemetry::metric_set* metrics = nullptr;
        response_limits limits;
        /// Largest response that is buffered, in bytes.
        std::size_t max_response_bytes = 0;
        /// Called after each call that ended.
        std::function<void()> on_call_ended;
        /// Memory of the responses, shared with the other clients of the task.
        std::shared_ptr<http::response_budget> budget = nullptr;
        /// Passes requests on while this instance is cut off from their service; null if it has
        /// none relayed.
        relaying::relay_client* relays = nullptr;
        /// A request of this client account began to run at a target, this long ago. Called once
        /// for each target that runs it; null if usage is not counted.
        std::function<void(const account_name&, duration ago)> run_began = nullptr;
    };

    explicit forwarder(parameters arguments);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    /// Forwards the request to one of the route's services. The callbacks may be called before this
    /// function returns.
    request_id start(const routes::route& route, call_parameters call);
    /// Aborts the call because its caller has disconnected. None of its callbacks is called again.
    void cancel(request_id request);
    /// A part of the stream was sent to the caller.
    void stream_sent(request_id request);
    /// See `requests::dispatcher::announce_stop`.
    void announce_stop(time_point deadline);
    /// Refuses new requests from now on. Those that are open get their final response by
    /// `deadline`.
    void begin_stop(time_point deadline);
    void routes_changed();
    void target_changed(const membership::directory_change& change);
    /// The permits of a limited target, or the expected wait for them, have changed.
    void permits_changed(const target_id& target);
    /// Whether a request under which targets may have ended may be sent has changed.
    void suspect_changed(const request_fingerprint& fingerprint);
    /// A link to the keeper was opened.
    void keeper_connected(const instance_id& keeper);

    /// Reports requests that must have begun to run by now, though no response has arrived.
    void count_open_runs();

    [[nodiscard]] std::size_t open_count() const { return this->calls.size(); }

private:
    struct open_call {
        std::unique_ptr<forwarded_call> call;
        backend_name service;
        time_point started_at{};
    };

    /// Picks one of the route's services at random, by their weights.
    [[nodiscard]] backend_name choose_service(const routes::route& route);
    /// Queues the message for the dispatcher, and processes the queue unless that is under way
    /// already.
    void dispatch(const requests::message& message);
    void process_inbox();
    void process_unless_busy();
    void log_quarantined(const forwarded_call& call, const requests::refuse_request& refused);
    void log_rate_limited(const std::string& name, const requests::refuse_request& refused);
    void execute(const requests::actions& pending);
    void on(const requests::send_attempt& action);
    void on(const requests::relay_attempt& action);
    void on(const requests::select_attempt& selected);
    void on(const requests::bind_stream& bound);
    void on(const requests::cancel_attempt& cancelled);
    void on(const requests::complete_request& completed);
    void on(const requests::refuse_request& refused);
    void on(const requests::probe_path& action);
    void on(const requests::paths_changed& changed);
    void finish(request_id request, const char* outcome);

    parameters params;
    std::mt19937_64 random;
    requests::dispatcher dispatcher;
    http::client client;
    std::unique_ptr<target_checks> checks;
    std::unique_ptr<path_monitor> paths;
    std::unordered_map<request_id, open_call> calls;
    std::unordered_map<attempt_id, request_id> attempts;
    std::uint64_t last_request = 0;
    /// Messages for the dispatcher that arrive while another is being processed.
    std::deque<requests::message> inbox;
    bool is_processing = false;
    /// Ended calls, each of which may still be in one of its own callbacks.
    std::vector<std::unique_ptr<forwarded_call>> pending_deletion;
    task::wakeup dispatcher_timer;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::forwarding
