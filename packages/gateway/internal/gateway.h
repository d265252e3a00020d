#pragma once

#include "accounts/authorization.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/system_wall_clock.h"
#include "fleet/keeper_client.h"
#include "forwarding/forwarder.h"
#include "gateway/caller_protocol.h"
#include "gateway/internal/caller_responder.h"
#include "gateway/internal/gateway_message.h"
#include "gateway/internal/relayed_calls.h"
#include "gateway/internal/store_client.h"
#include "gateway/internal/take_ups.h"
#include "gateway/internal/usage_reports.h"
#include "http/caller_budget.h"
#include "http/response_budget.h"
#include "http/server.h"
#include "relaying/relay_client.h"
#include "settings/process_settings.h"
#include "streams/lookup_result.h"
#include "telemetry/metric_set.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcupcart::gateway {

/// Handler of the gateway task: owns the connections to callers, targets, keepers and stores.
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
    explicit gateway(parameters arguments);
    outcome<void> open_servers();
    outcome<void> open_relayed_calls();
    void open_fleet();
    void open_forwarder();
    void open_usage();

    void on(const admin::report_request& request);
    void on(const settings::seeds_changed& changed);
    void on(const stop_announced& announced);
    void on(stop_started& started);

    /// Refuses a request whose key is not valid before its body arrives.
    void check_head(http::exchange& head);
    void handle_request(std::unique_ptr<http::exchange> exchange);
    void handle_routed_call(std::unique_ptr<http::exchange> exchange, const routed_call& call);
    /// Passes a call about a batch job on to the stores.
    template <typename Call>
    void handle_job_call(std::unique_ptr<http::exchange> exchange, const Call& call);
    /// The account of a permitted request, empty if it has none. Otherwise refuses the request and
    /// returns nothing. `request_name` is the caller's identifier of its attempt.
    std::optional<account_name> admit(http::exchange& exchange, const std::string& request_name,
                                      const accounts::authorization& decision);
    /// Whether the last contact with a keeper is recent enough to rely on the known keys.
    [[nodiscard]] bool may_use_keys() const;
    void refuse_without_routes(http::exchange& exchange, const std::string& request_name);
    void submit_job(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                    const routes::route& route, const account_name& account);
    /// With an origin, the request goes to replicas of that service and software version only.
    void forward(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                 const routes::route& route, const account_name& account,
                 const std::optional<forwarding::stream_origin>& origin = std::nullopt);
    void take_up(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                 const routes::route& route);
    /// The stream that the call takes up was looked up.
    void continue_take_up(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                          const streams::lookup_result& result);
    void check_drained();
    /// Calls of other gateways.
    [[nodiscard]] std::size_t open_relayed_count() const;
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] wire::hello make_hello() const;

    parameters params;
    telemetry::metric_set metrics;
    std::shared_ptr<http::response_budget> responses;
    std::shared_ptr<http::caller_budget> caller_memory;
    /// Readiness is withdrawn.
    bool is_stopping = false;
    /// New requests are refused.
    bool is_draining = false;
    /// Set while a stop is in progress.
    std::function<void()> on_drained;
    std::unique_ptr<store_client> stores;
    std::unique_ptr<fleet::keeper_client> fleet;
    std::unique_ptr<caller_responder> responder;
    std::unique_ptr<take_ups> resumptions;
    std::unique_ptr<relaying::relay_client> relays;
    system_wall_clock wall_time;
    /// Null if usage is not counted.
    std::unique_ptr<usage_reports> usage;
    std::unique_ptr<forwarding::forwarder> forwarder;
    std::unique_ptr<http::server> callers_server;
    std::unique_ptr<http::server> ready_server;
    /// Null if this gateway forwards no calls for others.
    std::unique_ptr<relayed_calls> calls_of_others;
};

} // namespace kingcupcart::gateway
