#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "configuration/deployment.h"
#include "entry/internal/call_context.h"
#include "entry/internal/engine_call.h"
#include "entry/internal/front_message.h"
#include "entry/internal/key_owner.h"
#include "entry/internal/peers_message.h"
#include "entry/internal/service_call.h"
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

/// Handler of the front task: owns the sockets to callers and targets, and the decisions about
/// requests. It turns HTTP into the dispatcher's messages and the dispatcher's actions into HTTP.
class front {
public:
    using message = front_message;

    /// What the front is made of.
    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        task::sender<peers_message> peers;
        std::uint64_t seed = 0;
    };

    static outcome<std::unique_ptr<front>> open(parameters arguments);
    ~front();
    front(const front&) = delete;
    front& operator=(const front&) = delete;

    void handle(front_message incoming);
    [[nodiscard]] const endpoint& address() const { return this->server->address(); }

private:
    using any_call = std::variant<std::unique_ptr<engine_call>, std::unique_ptr<service_call>>;

    explicit front(parameters arguments);

    void on(const target_update_received& learnt);
    void on(const target_heartbeats_received& heard);
    void on(const configuration_accepted& accepted);
    void on(const domain_size_changed& changed);
    void on(const peer_joined& joined);
    void on(peer_call_arrived& arrived);
    void on(peer_call_ended& ended);
    void on(const claim_ended& ended);
    void on(stop_request& asked);
    void on(const admin::report_request& asked);

    void request_arrived(std::unique_ptr<http::exchange> exchange);
    void announced(http::exchange& exchange);
    void completion_arrived(std::unique_ptr<http::exchange> exchange,
                            completions::completion_form form);
    void service_arrived(std::unique_ptr<http::exchange> exchange);
    void issue_key(http::exchange& exchange);

    /// Runs a service request, keyed or not, and gives its answer to the sink.
    void run_service(const service_request& request, time_point born,
                     std::unique_ptr<answer_sink> sink);
    void start_service(const service_request& request, request_id id,
                       std::unique_ptr<answer_sink> sink);
    void notify(const requests::message& incoming);
    void execute(const requests::actions& wanted);
    void execute(const requests::send_attempt& sent);
    void execute(const requests::adopt_attempt& adopted);
    void execute(const requests::cancel_attempt& cancelled);
    void execute(const requests::complete_request& completed);
    void execute(const requests::refuse_request& refused);

    [[nodiscard]] any_call* find(request_id request);
    void retire(request_id request);
    void apply(const membership::directory_change& change);
    void take_configuration(configuration_version version, const std::string& text);
    void renew_soft_state();
    void arm_wakeup();
    void check_drained();
    [[nodiscard]] work_class_name class_of(const http::exchange& exchange,
                                           const work_class_name& fallback) const;
    [[nodiscard]] request_id next_request();
    [[nodiscard]] std::string print_status() const;

    parameters params;
    telemetry::metric_set metrics;
    membership::directory directory;
    std::unordered_map<target_id, membership::target_load> loads;
    requests::dispatcher dispatcher;
    configuration::deployment deployment;
    configuration_version in_force;
    key_owner keys;
    http::client client;
    call_context context;
    std::unordered_map<request_id, any_call> calls;
    std::unordered_map<attempt_id, request_id> attempts;
    std::unordered_map<request_id, time_point> started;
    /// Calls that are over but may be on the stack.
    std::vector<any_call> retired;
    request_id last_request{0};
    std::function<void()> drained;
    /// The moment that `timers` waits for.
    time_point armed_for = time_point::max();
    task::wakeup timers;
    task::wakeup soft_state;
    task::wakeup cleanup_timer;
    std::unique_ptr<http::server> server;
};

} // namespace kingcupcart::entry
