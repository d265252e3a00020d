#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "fleet/keeper_client.h"
#include "gateway/caller_protocol.h"
#include "gateway/internal/forwarded_call.h"
#include "gateway/internal/gateway_message.h"
#include "gateway/internal/store_client.h"
#include "http/client.h"
#include "http/server.h"
#include "requests/dispatcher.h"
#include "settings/process_settings.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace kingcupcart::gateway {

/// Handler of the gateway task: owns the connections to callers, targets, keepers and stores, and
/// the request dispatcher.
class gateway {
public:
    using message = gateway_message;

    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        std::uint64_t seed = 0;
        routes::route_table_parser parse_route_table = nullptr;
        caller_protocol callers;
        engines::target_protocol targets;
    };

    static outcome<std::unique_ptr<gateway>> open(parameters arguments);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void handle(gateway_message incoming);

private:
    struct open_request {
        std::unique_ptr<forwarded_call> call;
        time_point started_at{};
    };

    explicit gateway(parameters arguments);
    outcome<void> open_servers();
    void open_fleet();

    void on(const admin::report_request& request);
    void on(const settings::seeds_changed& changed);
    void on(const stop_announced& announced);
    void on(stop_started& started);

    void handle_request(std::unique_ptr<http::exchange> exchange);
    void handle_routed_call(std::unique_ptr<http::exchange> exchange, const routed_call& call);
    void submit_job(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                    const routes::route& route);
    void forward(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                 const routes::route& route);
    void refuse(http::exchange& exchange, const std::string& name, const refusal& details);
    /// Picks one of the route's services at random, by their weights.
    [[nodiscard]] backend_name choose_service(const routes::route& route);

    void routes_changed();
    /// Queues the message for the dispatcher, and processes the queue unless that is under way
    /// already.
    void dispatch(const requests::message& message);
    void process_inbox();
    void execute(const requests::action& action);
    void on(const requests::send_attempt& action);
    void on(const requests::select_attempt& selected);
    void on(const requests::cancel_attempt& cancelled);
    void on(const requests::complete_request& completed);
    void on(const requests::refuse_request& refused);
    void finish(request_id request, const char* outcome);
    void check_drained();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] wire::hello make_hello() const;

    parameters params;
    telemetry::metric_set metrics;
    std::mt19937_64 random;
    requests::dispatcher dispatcher;
    http::client client;
    std::unordered_map<request_id, open_request> requests;
    std::unordered_map<attempt_id, request_id> attempts;
    std::uint64_t last_request = 0;
    /// Messages for the dispatcher that arrive while another is being processed.
    std::deque<requests::message> inbox;
    bool is_processing = false;
    bool is_stopping = false;
    /// Set while a stop is in progress.
    std::function<void()> on_drained;
    /// Ended calls, each of which may still be in one of its own callbacks.
    std::vector<std::unique_ptr<forwarded_call>> pending_deletion;
    task::wakeup dispatcher_timer;
    task::wakeup cleanup_timer;
    std::unique_ptr<store_client> stores;
    std::unique_ptr<fleet::keeper_client> fleet;
    std::unique_ptr<http::server> callers_server;
    std::unique_ptr<http::server> ready_server;
};

} // namespace kingcupcart::gateway
