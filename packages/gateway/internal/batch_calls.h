#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "fleet/keeper_client.h"
#include "gateway/caller_protocol.h"
#include "group/member_links.h"
#include "http/exchange.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace kingcupcart::gateway {

/// Calls about batch jobs on their way to the store that leads. All of them may be sent again: a
/// job is accepted once, and the others change nothing twice.
class batch_calls {
public:
    struct parameters {
        const clock* time = nullptr;
        caller_protocol port;
        std::function<wire::hello()> greeting;
        telemetry::metric_set* metrics = nullptr;
        /// A call was answered or left.
        std::function<void()> ended;
    };

    explicit batch_calls(parameters arguments);
    ~batch_calls();
    batch_calls(const batch_calls&) = delete;
    batch_calls& operator=(const batch_calls&) = delete;

    void submit(std::unique_ptr<http::exchange> exchange, batch::job job, duration max_wait);
    void read_results(std::unique_ptr<http::exchange> exchange, const read_results_call& wanted);
    void read_body(std::unique_ptr<http::exchange> exchange, const item_body_call& wanted);
    void end_job(std::unique_ptr<http::exchange> exchange, const end_job_call& wanted);
    void stores_changed(const std::vector<wire::store_address>& stores);

    [[nodiscard]] std::size_t open_count() const { return this->calls.size(); }
    [[nodiscard]] bool has_leader() const;

private:
    struct open_call {
        std::unique_ptr<http::exchange> exchange;
        wire::message content;
        job_id job;
        /// Position from which on results are read.
        std::size_t after = 0;
        time_point began{};
        /// A resend is due then; the far future while the call is at a store.
        time_point send_at{};
        /// Without an answer by then it is sent again.
        time_point answer_due{};
        time_point give_up_at{};
        /// It was sent to a store that has not said that it did nothing.
        bool may_have_run = false;
    };

    void add(std::unique_ptr<http::exchange> exchange, wire::message content, const job_id& job,
             std::size_t after, duration max_wait);
    void send(std::uint64_t number, open_call& call);
    /// The leading store changed or was lost.
    void send_all_again();
    void received(const instance_id& from, const wire::message& said);
    void answered(const wire::batch_response& said);
    void finish(std::uint64_t number, const wire::batch_response& said);
    void refuse(std::uint64_t number, const refusal& why);
    void remove(std::uint64_t number);
    void run_maintenance();
    void arm();

    parameters params;
    std::map<std::uint64_t, open_call> calls;
    std::uint64_t last_call = 0;
    /// The store that leads, by its link; empty while none is known.
    instance_id leader;
    std::vector<std::unique_ptr<http::exchange>> finished;
    task::wakeup timer;
    task::wakeup cleanup_timer;
    group::member_links stores;
};

} // namespace kingcupcart::gateway
