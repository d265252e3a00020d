#pragma once

#include "base/ids.h"
#include "completions/completion_request.h"
#include "completions/completion_response.h"
#include "completions/event_parser.h"
#include "entry/internal/call_context.h"
#include "entry/internal/problem.h"
#include "http/client.h"
#include "http/flow_control.h"
#include "membership/target_record.h"
#include "requests/actions.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace kingcupcart::http {
class exchange;
}

namespace kingcupcart::entry {

/// A completion request. Streams the output of engines to one caller, as one body or as events,
/// over one or more attempts, each of which continues where the previous one stopped.
class engine_call {
public:
    engine_call(request_id id, completions::completion_request request,
                std::unique_ptr<http::exchange> exchange, call_context& context);
    ~engine_call();
    engine_call(const engine_call&) = delete;
    engine_call& operator=(const engine_call&) = delete;

    void start_attempt(const requests::send_attempt& action,
                       const membership::target_record& target);
    void select(attempt_id attempt);
    void cancel(attempt_id attempt);
    void complete();
    void refuse(const problem& refusal);
    /// Called when the caller has disconnected and the request is dropped. Does nothing, since the
    /// outcomes of completions are not recorded.
    void abandon() {}

private:
    struct attempt_stream {
        std::unique_ptr<http::client::call> call;
        completions::event_parser parser;
        int status = 0;
        /// Body of the engine's error response.
        std::string error_body;
        bool is_finished = false;
        /// Its last event has arrived.
        bool is_done = false;
    };

    void handle_data(attempt_id attempt, std::string_view data);
    void handle_event(attempt_id attempt, attempt_stream& stream, const std::string& event);
    void handle_call_end(attempt_id attempt, http::call_result result);
    void deliver(const completions::completion_chunk& chunk);
    void begin_stream();
    /// Pauses the selected attempt while much of the stream is unsent.
    void control_flow();
    void fail_attempt(attempt_id attempt, requests::attempt_failure failure);

    request_id id;
    completions::completion_request request;
    std::unique_ptr<http::exchange> exchange;
    call_context& context;
    completions::completion_response response;
    std::optional<attempt_id> selected_attempt;
    http::flow_control flow;
    std::unordered_map<attempt_id, std::unique_ptr<attempt_stream>> attempts;
    /// Attempts that ended, perhaps within their own callback; destroyed with this object.
    std::vector<std::unique_ptr<attempt_stream>> pending_deletion;
    /// Body of the engine's rejection of the request, passed to the caller unchanged.
    std::string engine_error;
    int engine_status = 0;
};

} // namespace kingcupcart::entry
