#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "fleet/keeper_client.h"
#include "gateway/caller_port.h"
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
    struct parts {
        const clock* time = nullptr;
        caller_port port;
        std::function<wire::hello()> greeting;
        telemetry::metric_set* metrics = nullptr;
        /// A call was answered or left.
        std::function<void()> ended;
    };

    explicit batch_calls(parts made_of);
    ~batch_calls();
    batch_calls(const batch_calls&) = delete;
    batch_calls& operator=(const batch_calls&) = delete;

    void submit(std::unique_ptr<http::exchange> exchange, batch::job job, duration patience);
    void read_results(std::unique_ptr<http::exchange> exchange, const results_wanted& wanted);
    void read_body(std::unique_ptr<http::exchange> exchange, const item_body_wanted& wanted);
    void end_job(std::unique_ptr<http::exchange> exchange, const job_end_wanted& wanted);
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
             std::size_t after, duration patience);
    void send(std::uint64_t number, open_call& call);
    /// The leading store changed or was lost.
    void send_all_again();
    void received(const instance_id& from, const wire::message& said);
    void answered(const wire::batch_answered& said);
    void finish(std::uint64_t number, const wire::batch_answered& said);
    void refuse(std::uint64_t number, const refusal& why);
    void remove(std::uint64_t number);
    void tend();
    void arm();

    parts own;
    std::map<std::uint64_t, open_call> calls;
    std::uint64_t last_call = 0;
    /// The store that leads, by its link; empty while none is known.
    instance_id leader;
    std::vector<std::unique_ptr<http::exchange>> finished;
    task::wakeup timer;
    task::wakeup cleaner;
    group::member_links stores;
};

} // namespace kingcupcart::gateway
