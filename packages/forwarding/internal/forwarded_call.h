#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/units.h"
#include "completions/event_parser.h"
#include "engines/target_protocol.h"
#include "forwarding/call_parameters.h"
#include "forwarding/internal/attempt_transport.h"
#include "forwarding/response_observer.h"
#include "http/client.h"
#include "http/flow_control.h"
#include "http/response_budget.h"
#include "http/response_head.h"
#include "membership/target_record.h"
#include "relaying/relay_client.h"
#include "requests/actions.h"
#include "requests/messages.h"
#include "telemetry/metric_set.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::forwarding {

/// One forwarded request: executes the dispatcher's actions for it. A response is buffered until it
/// is complete; a stream is forwarded event by event.
class forwarded_call {
public:
    struct parameters {
        call_parameters call;
        engines::target_protocol protocol;
        /// The earlier of the caller's deadline and the route's timeout.
        time_point deadline{};
        bool is_stream = false;
        /// Largest response that is buffered, in bytes.
        std::size_t max_response_bytes = 0;
        const clock* time = nullptr;
        http::client* client = nullptr;
        /// Null if no other gateway is asked to relay the request.
        relaying::relay_client* relays = nullptr;
        /// Memory of relayed responses; null if it is not limited.
        std::shared_ptr<http::response_budget> budget = nullptr;
        /// Passes a message to the dispatcher, whose actions are executed before the next event
        /// loop iteration.
        std::function<void(const requests::message&)> notify;
        /// Called with the head of each response, which may say something of its target.
        std::function<void(const observed_request&, const http::response_head&)> head_received;
        telemetry::metric_set* metrics = nullptr;
        /// The request began to run at a target, this long ago. Called once for each target that
        /// runs it; null if it is not counted.
        std::function<void(duration ago)> run_began = nullptr;
    };

    explicit forwarded_call(parameters arguments);
    ~forwarded_call();
    forwarded_call(const forwarded_call&) = delete;
    forwarded_call& operator=(const forwarded_call&) = delete;

    void start_attempt(const requests::send_attempt& action,
                       const membership::target_record& target);
    /// Has another gateway forward the request. Fails as `no_relay` if none is ever asked.
    void start_attempt(const requests::relay_attempt& action);
    /// Sends this attempt's response to the caller; its stream begins at once.
    void select_attempt(attempt_id attempt);
    /// Reports where the stream has begun; empty if that turned out to be unknown.
    void bind_stream(const std::optional<stream_origin>& origin);
    void cancel(attempt_id attempt);
    /// A part of the stream was sent to the caller.
    void stream_sent() { this->control_flow(); }
    /// Counts attempts that were sent long enough ago to have begun to run.
    void count_open_runs();
    /// Sends the rest of the selected attempt's response.
    void complete();
    void fail(const call_failure& failure);

    [[nodiscard]] const std::string& name() const { return this->params.call.name; }
    [[nodiscard]] const std::optional<request_fingerprint>& fingerprint() const {
        return this->params.call.fingerprint;
    }
    /// Status of the target's response that was sent to the caller; 0 if none was.
    [[nodiscard]] int status() const { return this->response_status; }

private:
    struct attempt_response {
        attempt_transport transport;
        http::response_head head;
        /// The response received so far, or the part of a stream that has not been forwarded yet.
        std::string body;
        completions::event_parser parser;
        std::size_t last_event = 0;
        bool is_matching = false;
        /// Waits for a connection to its target.
        bool is_opening = false;
        /// The client's call is being started.
        bool is_starting = false;
        /// Empty if the attempt is relayed.
        target_id target;
        incarnation_id incarnation;
        time_point sent_at{};
        /// When the request was written to a socket; empty if it was not, or if it is relayed.
        std::optional<time_point> written_at;
        /// The target's system did not acknowledge what was written to the connection.
        bool is_silent = false;
        /// Counted as begun to run.
        bool is_counted = false;
    };

    /// How an attempt ended; `kind` and `reason` are for the log.
    struct attempt_end {
        /// Empty if the response is complete.
        std::optional<requests::attempt_failure> failure;
        const char* kind = "";
        std::string reason;
    };

    static attempt_end make_end(http::call_result completion, const std::string& reason);
    static attempt_end make_end(relaying::relay_result completion, const std::string& reason);

    /// The request to send after the caller received this many further events.
    [[nodiscard]] engines::forwarded_request remaining_request(tokens delivered) const;
    attempt_response& add_attempt(attempt_id attempt, std::size_t resume_after);
    void on_write_started(attempt_id attempt);
    void on_silent(attempt_id attempt, const endpoint& server);
    void on_target_head(attempt_id attempt, const http::response_head& head);
    void on_target_end(attempt_id attempt, http::call_result completion, const std::string& reason);
    void on_head(attempt_id attempt, const http::response_head& head);
    void on_data(attempt_id attempt, std::string_view data);
    void on_stream_data(attempt_id attempt, attempt_response& response, std::string_view data);
    /// Pauses the selected attempt while much of the stream is unsent.
    void control_flow();
    void on_end(attempt_id attempt, const attempt_end& end);
    /// `kind` and `reason` are for the log.
    void fail_attempt(attempt_id attempt, requests::attempt_failure failure, const char* kind,
                      const std::string& reason);
    /// Counts the attempt as begun to run at that time, unless it is counted already.
    void count_run(attempt_response& response, const std::optional<time_point>& began_at);
    /// Counts an attempt that ended without an answer and may have run.
    void count_unanswered(attempt_id attempt);
    void log_unopened(attempt_id attempt, const attempt_response& response) const;
    /// Ends the attempt's call.
    void remove(attempt_id attempt);

    parameters params;
    std::map<attempt_id, std::unique_ptr<attempt_response>> attempts;
    /// Cancelled attempts, each of which may still be in one of its own callbacks; destroyed with
    /// the call.
    std::vector<std::unique_ptr<attempt_response>> pending_deletion;
    /// Relays that the request was sent to.
    std::vector<instance_id> tried_relays;
    attempt_id selected_attempt;
    int response_status = 0;
    bool is_streaming = false;
    http::flow_control flow;
};

} // namespace kingcupcart::forwarding
