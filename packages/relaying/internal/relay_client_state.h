#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "relaying/internal/relay_lookups.h"
#include "relaying/relay_client.h"
#include "relays/relay_choice.h"
#include "task/wakeup.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kingcupcart::relaying {

/// The links and calls of a client. Callbacks of calls may start and destroy calls, and the client.
class relay_client::shared_state : public std::enable_shared_from_this<shared_state> {
public:
    using call_state = std::shared_ptr<call::state>;

    explicit shared_state(parameters arguments);

    void add(const call_state& added);
    void cancel(const call_state& cancelled);
    void set_paused(const call_state& changed, bool is_paused);
    void prepare(const backend_name& backend);
    void handle(const wire::relay_lookup_response& response);
    /// Ends without further callbacks.
    void close();
    [[nodiscard]] std::size_t open_count() const { return this->calls.size(); }

private:
    struct relay_link {
        std::unique_ptr<wire::peer_link> link;
        /// Distinguishes links that were opened to the same relay one after the other.
        std::uint64_t number = 0;
        bool is_open = false;
        /// Protocol revision of the relay, once the link is open.
        std::uint16_t revision = 0;
        /// The link is given up if it is not open by then.
        time_point deadline{};
        /// Cancellations and acknowledgements that a full link did not take.
        std::deque<wire::message> waiting;
    };

    /// Closes links that hang or idle, and sends the calls that can be sent.
    void run();
    void schedule();
    /// Asks a keeper for relays of the backend unless the last answer is recent.
    relay_lookups::state refresh(const backend_name& backend);
    /// Sends the call, or ends it if no relay is left for it.
    void try_send(const call_state& unsent);
    /// Returns false if the link takes no more at present.
    bool send(const call_state& unsent, const instance_id& relay);
    /// Sends a cancellation or an acknowledgement, later if the link takes no more at present.
    void notify_relay(relay_link& link, const wire::message& message);
    /// Returns false if some still wait.
    static bool send_waiting(relay_link& link);
    /// Opens links for the backend; returns whether one is being opened.
    bool open_links(const backend_name& backend, const std::set<instance_id>& passed_over);
    void dial(const instance_id& relay);
    void close_link(const instance_id& relay);
    void on_lost(const instance_id& relay, const std::string& reason);
    void receive(const instance_id& relay, wire::message message);
    void on(const instance_id& relay, const wire::hello& hello);
    void on(const instance_id& relay, const wire::relayed_response_head& head);
    void on(const instance_id& relay, const wire::relayed_response_data& data);
    void on(const instance_id& relay, const wire::relayed_response_end& end);
    void on(const instance_id& relay, const wire::relayed_call_failure& failure);
    void on(const instance_id& relay, const wire::relay_stopping& stopping);
    void acknowledge(call::state& received);
    void finish(const call_state& ended, relay_result result, const std::string& reason,
                duration retry_after = {});
    /// The open link, if it has this number; otherwise null.
    [[nodiscard]] relay_link* find(const instance_id& relay, std::uint64_t number);
    /// The call with this number if it was sent to the relay; otherwise null.
    [[nodiscard]] call_state find_call(const instance_id& relay, std::uint64_t number) const;
    [[nodiscard]] bool is_open(const call_state& call) const;
    void count_links();

    parameters params;
    relays::relay_choice choice;
    relay_lookups lookups;
    /// Addresses of the relays that keepers have named.
    std::map<instance_id, endpoint> addresses;
    std::map<instance_id, relay_link> links;
    std::uint64_t last_link_number = 0;
    /// By number.
    std::map<std::uint64_t, call_state> calls;
    std::uint64_t last_call_number = 0;
    /// Closed links, destroyed in the next event loop iteration because one of their own callbacks
    /// may still be running.
    std::vector<std::unique_ptr<wire::peer_link>> pending_deletion;
    /// Calls `run` in the next iteration, and when something is due.
    task::wakeup run_now;
    task::wakeup run_timer;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::relaying
