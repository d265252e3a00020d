#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "configuration/deployment.h"
#include "entry/internal/call_context.h"
#include "entry/internal/engine_call.h"
#include "entry/internal/frontend_message.h"
#include "entry/internal/key_owner.h"
#include "entry/internal/peers_message.h"
#include "entry/internal/service_call.h"
#include "http/caller_budget.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/directory.h"
#include "requests/dispatcher.h"
#include "settings/process_settings.h"
#include "task/sender.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace kingcupcart::entry {

/// Handler of the frontend task: owns the sockets to callers and targets and makes the decisions
/// about requests. Converts HTTP requests into messages to the dispatcher, and the dispatcher's
/// actions into HTTP.
class frontend {
public:
    using message = frontend_message;

    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        task::sender<peers_message> peers;
        std::uint64_t seed = 0;
    };

    static outcome<std::unique_ptr<frontend>> open(parameters arguments);
    ~frontend();
    frontend(const frontend&) = delete;
    frontend& operator=(const frontend&) = delete;

    void handle(frontend_message incoming);
    [[nodiscard]] const endpoint& address() const { return this->server->address(); }

private:
    using any_call = std::variant<std::unique_ptr<engine_call>, std::unique_ptr<service_call>>;

    explicit frontend(parameters arguments);

    void on(const target_update_received& update);
    void on(const target_heartbeats_received& heartbeats);
    void on(const configuration_accepted& accepted);
    void on(const domain_size_changed& change);
    void on(const peer_link_opened& opened);
    void on(forwarded_call_received& received);
    void on(forwarded_call_completed& completed);
    void on(const claim_completed& completed);
    void on(const stop_announced& announced);
    void on(stop_request& request);
    void on(const admin::report_request& request);

    void handle_request(std::unique_ptr<http::exchange> exchange);
    void handle_announcement(http::exchange& exchange);
    void handle_completion(std::unique_ptr<http::exchange> exchange,
                           completions::completion_form form);
    void handle_service_request(std::unique_ptr<http::exchange> exchange);
    void issue_key(http::exchange& exchange);

    /// Runs a service request, with or without a key, and sends its response to the sink.
    /// `key_created` is when the key was issued or claimed.
    void run_service(const service_request& request, time_point key_created,
                     std::unique_ptr<response_sink> sink);
    void start_service(const service_request& request, request_id id,
                       std::unique_ptr<response_sink> sink);
    void dispatch(const requests::message& incoming);
    void execute(const requests::actions& actions);
    void execute(const requests::send_attempt& action);
    void execute(const requests::relay_attempt& action);
    void execute(const requests::select_attempt& action);
    void execute(const requests::bind_stream& action);
    void execute(const requests::cancel_attempt& action);
    void execute(const requests::complete_request& action);
    void execute(const requests::refuse_request& action);
    void execute(const requests::probe_path& action);
    void execute(const requests::paths_changed& action);

    [[nodiscard]] any_call* find(request_id request);
    void remove_call(request_id request);
    void apply(const membership::directory_change& change);
    void apply_configuration(configuration_version version, const std::string& text);
    void renew_soft_state();
    void arm_dispatcher_timer();
    void check_drained();
    [[nodiscard]] work_class_name work_class_of(const http::exchange& exchange,
                                                const work_class_name& fallback) const;
    [[nodiscard]] request_id next_request_id();
    [[nodiscard]] std::string status_json() const;

    parameters params;
    telemetry::metric_set metrics;
    membership::directory directory;
    std::unordered_map<target_id, membership::target_load> loads;
    requests::dispatcher dispatcher;
    configuration::deployment deployment;
    configuration_version in_force;
    key_owner keys;
    http::client client;
    std::shared_ptr<http::caller_budget> caller_memory;
    call_context context;
    std::unordered_map<request_id, any_call> calls;
    std::unordered_map<attempt_id, request_id> attempts;
    std::unordered_map<request_id, time_point> start_times;
    /// Calls that have ended but may be on the call stack; destroyed by `cleanup_timer`.
    std::vector<any_call> pending_deletion;
    request_id last_request_id{0};
    std::function<void()> on_drained;
    bool is_stopping = false;
    /// The time that `dispatcher_timer` is armed for.
    time_point armed_time = time_point::max();
    task::wakeup dispatcher_timer;
    task::wakeup soft_state_timer;
    task::wakeup cleanup_timer;
    std::unique_ptr<http::server> server;
};

} // namespace kingcupcart::entry
