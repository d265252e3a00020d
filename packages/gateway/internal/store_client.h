#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "fleet/keeper_client.h"
#include "gateway/caller_protocol.h"
#include "gateway/internal/leading_store.h"
#include "gateway/internal/send_history.h"
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

/// Sends the callers' requests about batch jobs to the leading store. Every request is idempotent
/// and is sent again after a change of leader or a timeout: a store accepts a job once only.
class store_client {
public:
    struct parameters {
        const clock* time = nullptr;
        caller_protocol protocol;
        std::function<wire::hello()> make_hello;
        telemetry::metric_set* metrics = nullptr;
        /// Called after each call that was answered or refused, or whose caller disconnected.
        std::function<void()> on_call_ended;
    };

    explicit store_client(parameters arguments);
    ~store_client();
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;

    void submit(std::unique_ptr<http::exchange> exchange, batch::job job, duration max_wait);
    /// Starts a call about a job on behalf of the account. The name is empty if the configuration
    /// has no accounts.
    void start(std::unique_ptr<http::exchange> exchange, const read_results_call& call,
               const account_name& account);
    void start(std::unique_ptr<http::exchange> exchange, const item_body_call& call,
               const account_name& account);
    void start(std::unique_ptr<http::exchange> exchange, const end_job_call& call,
               const account_name& account);
    void stores_changed(const std::vector<wire::store_address>& known_stores);

    [[nodiscard]] std::size_t open_count() const { return this->open_calls.size(); }
    [[nodiscard]] bool has_leader() const;

private:
    struct open_call {
        std::unique_ptr<http::exchange> exchange;
        wire::message request;
        job_id job;
        /// Position from which on results are read; 0 for other requests.
        std::size_t after = 0;
        time_point started_at{};
        /// When the request is sent again; `time_point::max()` while a store is processing it.
        time_point next_send_at{};
        /// The request is sent again if no response has arrived by then.
        time_point response_deadline{};
        /// The caller is refused if no response has arrived by then.
        time_point deadline{};
        send_history history;
    };

    void add(std::unique_ptr<http::exchange> exchange, wire::message request, const job_id& job,
             std::size_t after, duration max_wait);
    void send(std::uint64_t number, open_call& call);
    /// Schedules all open calls to be sent to the new leading store.
    void resend_all();
    void receive(const instance_id& from, const wire::message& message);
    void on(const instance_id& from, const wire::hello& hello);
    void on_response(const wire::batch_response& response);
    void finish(std::uint64_t number, const wire::batch_response& response);
    void refuse(std::uint64_t number, const refusal& details);
    void remove(std::uint64_t number);
    void run_maintenance();
    void schedule_maintenance();

    parameters params;
    std::map<std::uint64_t, open_call> open_calls;
    std::uint64_t last_call_number = 0;
    leading_store leader;
    /// Protocol revision of each store whose link is open and that has stated it.
    std::map<instance_id, std::uint16_t> revisions;
    /// Exchanges of ended calls, each of which may still be in one of its own callbacks.
    std::vector<std::unique_ptr<http::exchange>> pending_deletion;
    task::wakeup maintenance_timer;
    task::wakeup cleanup_timer;
    group::member_links links;
};

} // namespace kingcupcart::gateway
