#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "task/wakeup.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace kingcupcart::group {

/// Links that this instance dials to others, and dials again when they are lost. What is sent while
/// a link is down is dropped.
class member_links {
public:
    struct callbacks {
        /// The first message on each new link.
        std::function<wire::hello()> greeting;
        std::function<void(const instance_id&)> opened;
        std::function<void(const instance_id&, wire::message)> received;
        std::function<void(const instance_id&)> lost;
    };

    member_links(const clock& time, callbacks notify);
    ~member_links();
    member_links(const member_links&) = delete;
    member_links& operator=(const member_links&) = delete;

    /// Keeps a link to this instance from now on. A changed address ends the link to the old one.
    void add(const instance_id& id, const endpoint& address);
    void remove(const instance_id& id);
    /// False where the link is not open.
    bool send(const instance_id& to, const wire::message& said);
    void send_to_all(const wire::message& said);
    [[nodiscard]] bool is_open(const instance_id& id) const;
    [[nodiscard]] std::size_t open_count() const;
    [[nodiscard]] std::vector<instance_id> ids() const;
    [[nodiscard]] const endpoint* address_of(const instance_id& id) const;

private:
    struct neighbour {
        endpoint address;
        std::unique_ptr<wire::peer_link> link;
        bool is_open = false;
        time_point retry_at{};
    };

    void dial(const instance_id& id);
    void dial_due();
    void drop(neighbour& one);

    const clock& time;
    callbacks notify;
    std::map<instance_id, neighbour> neighbours;
    /// Links that ended within one of their own callbacks.
    std::vector<std::unique_ptr<wire::peer_link>> retired;
    task::wakeup dialing;
    task::wakeup cleaning;
};

} // namespace kingcupcart::group
