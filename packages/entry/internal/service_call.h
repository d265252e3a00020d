#pragma once

#include "base/ids.h"
#include "entry/internal/call_context.h"
#include "entry/internal/problem.h"
#include "entry/internal/response_sink.h"
#include "entry/internal/service_request.h"
#include "http/client.h"
#include "membership/target_record.h"
#include "requests/actions.h"
#include "requests/recorded_response.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kingcupcart::entry {

/// A call of a plain service. Buffers the response until it is complete, then sends it to all
/// sinks.
class service_call {
public:
    /// `on_complete` receives each outcome, for the record of a keyed call.
    service_call(request_id id, service_request request, call_context& context,
                 std::function<void(const requests::recorded_response&)> on_complete);
    ~service_call();
    service_call(const service_call&) = delete;
    service_call& operator=(const service_call&) = delete;

    /// Adds a destination for the response.
    void add_sink(std::unique_ptr<response_sink> sink);

    void start_attempt(const requests::send_attempt& action,
                       const membership::target_record& target);
    void select(attempt_id attempt);
    void cancel(attempt_id attempt);
    void complete();
    /// Sends the refusal to all sinks. `complete` may follow if the run continues after its callers
    /// stopped waiting.
    void refuse(const problem& refusal);
    /// Called when the last caller has disconnected before anything was sent to a target.
    void abandon();

private:
    struct attempt_response {
        std::unique_ptr<http::client::call> call;
        http::response_head head;
        std::string body;
    };

    void handle_call_end(attempt_id attempt, http::call_result result);
    void check_disconnected();

    request_id id;
    service_request request;
    call_context& context;
    std::function<void(const requests::recorded_response&)> on_complete;
    std::vector<std::unique_ptr<response_sink>> sinks;
    std::unordered_map<attempt_id, std::unique_ptr<attempt_response>> attempts;
    /// Attempts that ended, perhaps within their own callback; destroyed with this object.
    std::vector<std::unique_ptr<attempt_response>> pending_deletion;
    std::optional<attempt_id> selected_attempt;
};

} // namespace kingcupcart::entry
