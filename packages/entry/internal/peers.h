#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "entry/internal/frontend_message.h"
#include "entry/internal/peers_message.h"
#include "settings/process_settings.h"
#include "task/sender.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/listener.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace kingcupcart::entry {

/// Handler of the peers task: owns the links of an entry instance to other instances. Between entry
/// instances, each side sends over the link that it dialled and receives over the one that it
/// accepted; a link to a keeper carries both directions.
class peers {
public:
    using message = peers_message;

    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        task::sender<frontend_message> frontend;
    };

    static outcome<std::unique_ptr<peers>> open(parameters arguments);
    ~peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    void handle(peers_message incoming);
    [[nodiscard]] const endpoint& address() const { return this->listener->address(); }

private:
    /// A link that this instance dials, and redials when it is lost.
    struct outbound_link {
        endpoint address;
        wire::instance_role role = wire::instance_role::entry;
        /// Dialled only to forward calls, and not redialled.
        bool is_on_demand = false;
        /// Known once the other side's `hello` has arrived.
        instance_id instance;
        bool is_open = false;
        std::unique_ptr<wire::peer_link> link;
        time_point retry_at{};
        duration backoff{};
        /// Calls to send when the link opens.
        std::vector<wire::forward_call_request> queued_calls;
    };
    struct inbound_link {
        std::unique_ptr<wire::peer_link> link;
        wire::hello hello;
        time_point last_received{};
    };

    explicit peers(parameters arguments);

    void on(const broadcast_target& command);
    void on(const send_target_heartbeats& command);
    void on(const report_in_force& command);
    void on(forward_call& command);
    void on(send_call_response& command);
    void on(const request_claim& command);
    void on(const admin::report_request& request);

    void accept(GSocketConnection* connection);
    void receive_inbound(std::uint64_t number, wire::message incoming);
    void receive_outbound(const endpoint& address, wire::message incoming);
    void on_hello(const wire::hello& hello);
    void add_peer(const endpoint& address, wire::instance_role role, bool is_on_demand);
    void dial(outbound_link& peer);
    void on_link_opened(const endpoint& address);
    void on_link_lost(const endpoint& address, const std::string& reason);
    void maintain_links();
    [[nodiscard]] wire::hello make_hello() const;
    [[nodiscard]] outbound_link* find_or_dial_instance(const instance_id& instance);
    /// Sends the configuration in force if the other side's is older. An instance that joined later
    /// receives it this way even while no keeper can be reached.
    void send_newer_configuration(wire::peer_link& link, configuration_version peer_version) const;
    void send_to_domain(const wire::message& outgoing);
    void fail_calls(const instance_id& instance);
    void report_domain_size();

    parameters params;
    telemetry::metric_set metrics;
    std::map<endpoint, outbound_link> outbound_links;
    std::unordered_map<std::uint64_t, inbound_link> inbound_links;
    std::uint64_t last_inbound_number = 0;
    /// Link addresses of entry instances, in this failure domain and in others.
    std::unordered_map<instance_id, endpoint> instance_addresses;
    /// Forwarded calls without a response, by number, and the instance that each was sent to.
    std::unordered_map<std::uint64_t, instance_id> forwarded_calls;
    /// Claim requests without a response, by number, and the keeper link that each was sent over.
    std::unordered_map<std::uint64_t, endpoint> pending_claims;
    configuration_version in_force;
    std::string in_force_text;
    int domain_size = 1;
    std::vector<std::unique_ptr<wire::peer_link>> pending_deletion;
    task::wakeup maintenance_timer;
    std::unique_ptr<wire::listener> listener;
};

} // namespace kingcupcart::entry
