#pragma once

#include "base/ids.h"
#include "entry/internal/answer_sink.h"
#include "entry/internal/call_context.h"
#include "entry/internal/problem.h"
#include "entry/internal/service_request.h"
#include "http/client.h"
#include "membership/target_record.h"
#include "requests/actions.h"
#include "requests/recorded_answer.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kingcupcart::entry {

/// A call of a plain service: its answer is held until it is whole, then given to everyone who
/// waits for it.
class service_call {
public:
    /// `ended` is told the outcome once, for a keyed call's record.
    service_call(request_id id, service_request request, call_context& context,
                 std::function<void(const requests::recorded_answer&)> ended);
    ~service_call();
    service_call(const service_call&) = delete;
    service_call& operator=(const service_call&) = delete;

    /// One more waits for the answer.
    void add_sink(std::unique_ptr<answer_sink> sink);

    void start_attempt(const requests::send_attempt& sent, const membership::target_record& target);
    void adopt(attempt_id attempt);
    void cancel(attempt_id attempt);
    void complete();
    /// May be followed by `complete`, where a run outlives its callers' patience.
    void refuse(const problem& refusal);
    /// The caller left before anything was handed to a target.
    void abandon();

private:
    struct attempt_answer {
        std::unique_ptr<http::client::call> call;
        http::answer_head head;
        std::string body;
    };

    void end(attempt_id attempt, http::call_end how);
    void tell_left();

    request_id id;
    service_request request;
    call_context& context;
    std::function<void(const requests::recorded_answer&)> ended;
    std::vector<std::unique_ptr<answer_sink>> sinks;
    std::unordered_map<attempt_id, std::unique_ptr<attempt_answer>> attempts;
    /// Calls that ended within their own callback.
    std::vector<std::unique_ptr<attempt_answer>> finished;
    std::optional<attempt_id> adopted;
};

} // namespace kingcupcart::entry
