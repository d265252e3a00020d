#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "entry/internal/front_message.h"
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

/// Handler of the peers task: owns the inner links of an entry instance. It sends over the links
/// that it dialled, and receives over those that others dialled; to keepers both ways go over one.
class peers {
public:
    using message = peers_message;

    /// What the task is made of.
    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        task::sender<front_message> front;
    };

    static outcome<std::unique_ptr<peers>> open(parameters arguments);
    ~peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    void handle(peers_message incoming);
    [[nodiscard]] const endpoint& address() const { return this->listener->address(); }

private:
    /// A link that this instance dials, and dials again when it is lost.
    struct outbound {
        endpoint address;
        wire::instance_role role = wire::instance_role::entry;
        /// Dialled only for calls that are forwarded over it.
        bool is_on_demand = false;
        /// Known once the other side has said hello.
        instance_id instance;
        bool is_open = false;
        std::unique_ptr<wire::peer_link> link;
        time_point retry_at{};
        duration backoff{};
        /// Calls that wait for the link to open.
        std::vector<wire::forward_call_request> waiting;
    };
    struct inbound {
        std::unique_ptr<wire::peer_link> link;
        wire::hello hello;
        time_point last_heard{};
    };

    explicit peers(parameters arguments);

    void on(const share_target& shared);
    void on(const send_target_heartbeats& vouched);
    void on(const report_in_force& told);
    void on(forward_call& forwarded);
    void on(answer_call& answered);
    void on(const ask_claim& asked);
    void on(const admin::report_request& asked);

    void accept(GSocketConnection* connection);
    void receive_inbound(std::uint64_t number, wire::message said);
    void receive_outbound(const endpoint& address, wire::message said);
    void on_hello(const wire::hello& said);
    void add_peer(const endpoint& address, wire::instance_role role, bool is_on_demand);
    void dial(outbound& peer);
    void opened(const endpoint& address);
    void lost(const endpoint& address, const std::string& reason);
    void tend_links();
    [[nodiscard]] wire::hello make_hello() const;
    [[nodiscard]] outbound* find_instance(const instance_id& instance);
    /// Helps an instance that came later, also while no keeper can be reached.
    void offer_configuration(wire::peer_link& link, configuration_version known) const;
    void send_to_domain(const wire::message& outgoing);
    void fail_calls(const instance_id& instance);
    void report_domain_size();

    parameters params;
    telemetry::metric_set metrics;
    std::map<endpoint, outbound> dialled;
    std::unordered_map<std::uint64_t, inbound> accepted;
    std::uint64_t last_accepted = 0;
    /// Where instances can be reached, of this domain and of others.
    std::unordered_map<instance_id, endpoint> addresses;
    /// Calls forwarded and not yet answered, by their number.
    std::unordered_map<std::uint64_t, instance_id> forwarded;
    /// Claims asked of keepers and not yet answered, with the link that they went over.
    std::unordered_map<std::uint64_t, endpoint> claims;
    configuration_version in_force;
    std::string in_force_text;
    int domain_size = 1;
    std::vector<std::unique_ptr<wire::peer_link>> retired;
    task::wakeup maintenance_timer;
    std::unique_ptr<wire::listener> listener;
};

} // namespace kingcupcart::entry
