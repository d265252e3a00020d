#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "completions/event_parser.h"
#include "engines/target_protocol.h"
#include "gateway/caller_calls.h"
#include "gateway/refusal.h"
#include "http/answer_head.h"
#include "http/client.h"
#include "http/exchange.h"
#include "membership/target_record.h"
#include "requests/actions.h"
#include "requests/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::gateway {

/// One caller's request on its way: carries out the dispatcher's actions. An answer is held until
/// it is whole; a stream is passed on event by event.
class forwarded_call {
public:
    struct parameters {
        request_id id;
        routed_call call;
        engines::forwarded_request request;
        std::unique_ptr<http::exchange> exchange;
        engines::target_protocol port;
        /// When the caller's patience and the route's timeout end.
        time_point deadline{};
        bool is_stream = false;
        const clock* time = nullptr;
        http::client* client = nullptr;
        /// To the dispatcher, whose actions are carried out by the next turn of the loop.
        std::function<void(const requests::message&)> notify;
        std::function<void(http::exchange&, const refusal&)> refuse;
    };

    explicit forwarded_call(parameters arguments);
    ~forwarded_call();
    forwarded_call(const forwarded_call&) = delete;
    forwarded_call& operator=(const forwarded_call&) = delete;

    void start_attempt(const requests::send_attempt& sent, const membership::target_record& target);
    void adopt(attempt_id attempt);
    void cancel(attempt_id attempt);
    void complete();
    void refuse(const refusal& why);

    [[nodiscard]] const std::string& name() const { return this->params.call.request_name; }
    /// Status of the answer that was given; 0 while there is none.
    [[nodiscard]] int status() const { return this->told_status; }

private:
    struct attempt_answer {
        std::unique_ptr<http::client::call> call;
        http::answer_head head;
        /// A whole answer so far, or the events that wait for the attempt to be adopted.
        std::string body;
        completions::event_parser parser;
        std::size_t last_event = 0;
        bool is_genuine = false;
    };

    void take_head(attempt_id attempt, const http::answer_head& head);
    void take_data(attempt_id attempt, std::string_view data);
    void take_stream(attempt_id attempt, attempt_answer& answer, std::string_view data);
    void end(attempt_id attempt, http::call_end how, const std::string& reason);
    void fail(attempt_id attempt, requests::attempt_failure failure);
    void pass_headers(const http::answer_head& head);

    parameters params;
    std::map<attempt_id, std::unique_ptr<attempt_answer>> attempts;
    /// Attempts that ended within one of their callbacks.
    std::vector<std::unique_ptr<attempt_answer>> finished;
    attempt_id adopted;
    int told_status = 0;
};

} // namespace kingcupcart::gateway
