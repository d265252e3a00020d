#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "task/wakeup.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace kingcupcart::group {

/// Outgoing links to other instances, which are redialled when they are lost. Messages sent while a
/// link is down are dropped.
class member_links {
public:
    struct callbacks {
        /// Creates the first message on each new link.
        std::function<wire::hello()> greeting;
        std::function<void(const instance_id&)> opened;
        std::function<void(const instance_id&, wire::message)> received;
        std::function<void(const instance_id&)> lost;
    };

    member_links(const clock& time, callbacks notify);
    ~member_links();
    member_links(const member_links&) = delete;
    member_links& operator=(const member_links&) = delete;

    /// Opens a link to the instance and keeps it open. Where the address has changed, closes the
    /// link to the old address.
    void add(const instance_id& id, const endpoint& address);
    void remove(const instance_id& id);
    /// The instance is known to accept links. Dials it at once if the link is not open, or as soon
    /// as the open link is lost.
    void reconnect(const instance_id& id);
    /// Returns false, and drops the message, where the link is not open.
    bool send(const instance_id& to, const wire::message& message);
    void send_to_all(const wire::message& message);
    [[nodiscard]] bool is_open(const instance_id& id) const;
    [[nodiscard]] std::size_t open_count() const;
    /// When the instance last sent anything over the open link, or over the last one that was open;
    /// the epoch if it never did.
    [[nodiscard]] time_point last_received_at(const instance_id& id) const;
    [[nodiscard]] std::vector<instance_id> ids() const;
    [[nodiscard]] const endpoint* address_of(const instance_id& id) const;

private:
    struct peer_state {
        endpoint address;
        std::unique_ptr<wire::peer_link> link;
        /// Number of the dial that `link` comes from; 0 without a link.
        std::uint64_t dial = 0;
        bool is_open = false;
        time_point retry_at{};
        /// Of the links before `link`.
        time_point last_received_at{};
        /// Whether the next lost link is dialled again without delay.
        bool is_reachable = false;
    };

    void dial(const instance_id& id);
    void dial_due_peers();
    /// The instance, if `link` comes from that dial; otherwise null. A link that was replaced, or
    /// whose instance was removed, may still call back until it is destroyed.
    [[nodiscard]] peer_state* find(const instance_id& id, std::uint64_t dial);
    void close(peer_state& peer);

    const clock& time;
    callbacks notify;
    std::map<instance_id, peer_state> peers;
    std::uint64_t last_dial = 0;
    /// Closed links, destroyed in the next event loop iteration because one of their own callbacks
    /// may still be running.
    std::vector<std::unique_ptr<wire::peer_link>> pending_deletion;
    task::wakeup dial_timer;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::group
