#pragma once

#include "base/ids.h"
#include "completions/completion_answer.h"
#include "completions/completion_request.h"
#include "completions/event_parser.h"
#include "entry/internal/call_context.h"
#include "entry/internal/problem.h"
#include "http/client.h"
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

/// A completion: streams from an engine to one caller, whole or in events, over one or more
/// attempts that continue each other.
class engine_call {
public:
    engine_call(request_id id, completions::completion_request request,
                std::unique_ptr<http::exchange> exchange, call_context& context);
    ~engine_call();
    engine_call(const engine_call&) = delete;
    engine_call& operator=(const engine_call&) = delete;

    void start_attempt(const requests::send_attempt& sent, const membership::target_record& target);
    void adopt(attempt_id attempt);
    void cancel(attempt_id attempt);
    void complete();
    void refuse(const problem& refusal);
    /// The caller left before anything could not be taken back.
    void abandon() {}

private:
    struct attempt_stream {
        std::unique_ptr<http::client::call> call;
        completions::event_parser parser;
        int status = 0;
        /// An error body of the engine.
        std::string error_body;
        bool is_finished = false;
    };

    void take_data(attempt_id attempt, std::string_view data);
    void take_event(attempt_id attempt, attempt_stream& stream, const std::string& event);
    void end(attempt_id attempt, http::call_end how);
    void deliver(const completions::completion_chunk& chunk);
    void begin_stream();
    void fail(attempt_id attempt, requests::attempt_failure failure);

    request_id id;
    completions::completion_request request;
    std::unique_ptr<http::exchange> exchange;
    call_context& context;
    completions::completion_answer answer;
    std::optional<attempt_id> adopted;
    std::unordered_map<attempt_id, std::unique_ptr<attempt_stream>> attempts;
    /// Calls that ended within their own callback.
    std::vector<std::unique_ptr<attempt_stream>> ended;
    /// The engine's own refusal of the request, passed on as it is.
    std::string engine_error;
    int engine_status = 0;
};

} // namespace kingcupcart::entry
