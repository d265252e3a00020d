#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "completions/event_parser.h"
#include "engines/target_protocol.h"
#include "forwarding/call_parameters.h"
#include "forwarding/response_observer.h"
#include "http/client.h"
#include "http/flow_control.h"
#include "http/response_head.h"
#include "membership/target_record.h"
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
        /// Passes a message to the dispatcher, whose actions are executed before the next event
        /// loop iteration.
        std::function<void(const requests::message&)> notify;
        /// Called with the head of each response, which may say something of its target.
        std::function<void(const observed_request&, const http::response_head&)> head_received;
        telemetry::metric_set* metrics = nullptr;
    };

    explicit forwarded_call(parameters arguments);
    ~forwarded_call();
    forwarded_call(const forwarded_call&) = delete;
    forwarded_call& operator=(const forwarded_call&) = delete;

    void start_attempt(const requests::send_attempt& action,
                       const membership::target_record& target);
    /// Sends this attempt's response to the caller; its stream begins at once.
    void select_attempt(attempt_id attempt);
    /// Reports where the stream has begun; empty if that turned out to be unknown.
    void bind_stream(const std::optional<stream_origin>& origin);
    void cancel(attempt_id attempt);
    /// A part of the stream was sent to the caller.
    void stream_sent() { this->control_flow(); }
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
        std::unique_ptr<http::client::call> call;
        http::response_head head;
        /// The response received so far, or the part of a stream that has not been forwarded yet.
        std::string body;
        completions::event_parser parser;
        std::size_t last_event = 0;
        bool is_matching = false;
        /// A connection to the target was open, and the request began to be written to it.
        bool is_write_started = false;
        target_id target;
        incarnation_id incarnation;
        time_point sent_at{};
    };

    void on_write_started(attempt_id attempt);
    void on_head(attempt_id attempt, const http::response_head& head);
    void on_data(attempt_id attempt, std::string_view data);
    void on_stream_data(attempt_id attempt, attempt_response& response, std::string_view data);
    /// Pauses the selected attempt while much of the stream is unsent.
    void control_flow();
    void on_end(attempt_id attempt, http::call_result completion, const std::string& reason);
    /// `kind` and `reason` are for the log.
    void fail_attempt(attempt_id attempt, requests::attempt_failure failure, const char* kind,
                      const std::string& reason);
    void log_unopened(attempt_id attempt, const attempt_response& response) const;
    /// Closes the attempt's connection.
    void remove(attempt_id attempt);

    parameters params;
    std::map<attempt_id, std::unique_ptr<attempt_response>> attempts;
    /// Cancelled attempts, each of which may still be in one of its own callbacks; destroyed with
    /// the call.
    std::vector<std::unique_ptr<attempt_response>> pending_deletion;
    attempt_id selected_attempt;
    int response_status = 0;
    bool is_streaming = false;
    http::flow_control flow;
};

} // namespace kingcupcart::forwarding
