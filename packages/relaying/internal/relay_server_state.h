#pragma once

#include "base/ids.h"
#include "relaying/internal/exchange_state.h"
#include "relaying/relay_server.h"
#include "task/wakeup.h"
#include "wire/listener.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcupcart::relaying {

/// The links and calls of a server.
class relay_server::shared_state : public std::enable_shared_from_this<shared_state> {
public:
    explicit shared_state(parameters arguments);

    outcome<void> listen();
    void begin_stop();
    /// Cancels all calls.
    void close();
    [[nodiscard]] const endpoint& address() const { return this->bound; }
    [[nodiscard]] std::size_t open_count() const;

private:
    /// Number of the link, and number of the call on it.
    using call_key = std::pair<std::uint64_t, std::uint64_t>;
    using call_state = std::shared_ptr<relayed_exchange::state>;

    struct accepted_link {
        std::unique_ptr<wire::peer_link> link;
        /// The gateway at the other side; empty until its first message has arrived.
        instance_id origin;
    };

    void accept(GSocketConnection* connection);
    void on_lost(std::uint64_t link, const std::string& reason);
    void receive(std::uint64_t link, wire::message message);
    void on(std::uint64_t link, const wire::hello& hello);
    void on(std::uint64_t link, wire::relayed_call_request& request);
    void on(std::uint64_t link, const wire::relayed_call_cancel& cancelled);
    void on(std::uint64_t link, const wire::relayed_data_taken& taken);
    void refuse(const wire::relayed_call_request& request, const call_state& refused,
                const std::string& reason);
    bool send(std::uint64_t link, const wire::message& message);
    void flush_stalled();
    /// Ends the call in the next iteration, since the memory is short.
    void cut(const call_key& key, const std::string& reason);
    void end_cut_calls();
    void remove(const call_key& key);
    void check_idle();
    [[nodiscard]] call_state find(const call_key& key) const;
    /// Calls whose responses are not complete, or wait to be sent.
    [[nodiscard]] std::size_t running_count() const;
    void export_metrics();

    parameters params;
    endpoint bound;
    /// Null while stopping.
    std::unique_ptr<wire::listener> listener;
    std::map<std::uint64_t, accepted_link> links;
    std::uint64_t last_link_number = 0;
    std::map<call_key, call_state> calls;
    /// With the reason.
    std::map<call_key, std::string> cut_calls;
    bool is_stopping = false;
    /// Closed links, destroyed in the next event loop iteration because one of their own callbacks
    /// may still be running.
    std::vector<std::unique_ptr<wire::peer_link>> pending_deletion;
    task::wakeup cleanup_timer;
    task::wakeup flush_timer;
    task::wakeup cut_timer;
    task::wakeup idle_timer;
};

} // namespace kingcupcart::relaying
