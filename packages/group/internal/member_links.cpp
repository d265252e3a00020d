#include "group/member_links.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::group {

namespace {

/// Delay before a lost link is redialled.
constexpr duration retry_interval = std::chrono::milliseconds(300);

} // namespace

member_links::member_links(const clock& time, callbacks notify)
    : time(time),
      notify(std::move(notify)),
      dial_timer([this] { this->dial_due_peers(); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {}

member_links::~member_links() = default;

void member_links::add(const instance_id& id, const endpoint& address) {
    auto [entry, is_new] = this->peers.try_emplace(id);
    peer_state& peer = entry->second;
    if (!is_new && peer.address == address) {
        return;
    }
    this->close(peer);
    peer.address = address;
    peer.retry_at = this->time.now();
    this->dial_timer.arm_now();
}

void member_links::remove(const instance_id& id) {
    const auto found = this->peers.find(id);
    if (found != this->peers.end()) {
        this->close(found->second);
        this->peers.erase(found);
    }
}

void member_links::reconnect(const instance_id& id) {
    const auto found = this->peers.find(id);
    if (found == this->peers.end()) {
        return;
    }
    peer_state& peer = found->second;
    if (peer.is_open) {
        peer.is_reachable = true;
        return;
    }
    // A dial that began while the instance was down may take seconds to fail.
    this->close(peer);
    peer.retry_at = this->time.now();
    this->dial_timer.arm_now();
}

void member_links::close(peer_state& peer) {
    peer.is_open = false;
    peer.dial = 0;
    if (peer.link) {
        peer.last_received_at = std::max(peer.last_received_at, peer.link->last_received_at());
        this->pending_deletion.push_back(std::move(peer.link));
        this->cleanup_timer.arm_now();
    }
}

bool member_links::send(const instance_id& to, const wire::message& message) {
    const auto found = this->peers.find(to);
    return found != this->peers.end() && found->second.is_open && found->second.link->send(message);
}

void member_links::send_to_all(const wire::message& message) {
    for (auto& [id, peer] : this->peers) {
        if (peer.is_open) {
            peer.link->send(message);
        }
    }
}

bool member_links::is_open(const instance_id& id) const {
    const auto found = this->peers.find(id);
    return found != this->peers.end() && found->second.is_open;
}

std::size_t member_links::open_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(),
                      [](const auto& item) { return item.second.is_open; }));
}

time_point member_links::last_received_at(const instance_id& id) const {
    const auto found = this->peers.find(id);
    if (found == this->peers.end()) {
        return {};
    }
    const peer_state& peer = found->second;
    return peer.link ? std::max(peer.last_received_at, peer.link->last_received_at())
                     : peer.last_received_at;
}

std::vector<instance_id> member_links::ids() const {
    std::vector<instance_id> result;
    for (const auto& [id, peer] : this->peers) {
        result.push_back(id);
    }
    return result;
}

const endpoint* member_links::address_of(const instance_id& id) const {
    const auto found = this->peers.find(id);
    return found == this->peers.end() ? nullptr : &found->second.address;
}

void member_links::dial_due_peers() {
    const time_point now = this->time.now();
    time_point next = time_point::max();
    for (auto& [id, peer] : this->peers) {
        if (peer.link) {
            continue;
        }
        if (peer.retry_at <= now) {
            this->dial(id);
        } else {
            next = std::min(next, peer.retry_at);
        }
    }
    if (next != time_point::max()) {
        this->dial_timer.arm(next);
    }
}

void member_links::dial(const instance_id& id) {
    peer_state& peer = this->peers.at(id);
    const std::uint64_t number = ++this->last_dial;
    peer.dial = number;
    peer.link = wire::peer_link::dial(peer.address,
                                      {[this, id, number] {
                                           peer_state* opened = this->find(id, number);
                                           if (opened == nullptr) {
                                               return;
                                           }
                                           opened->is_open = true;
                                           opened->link->send(this->notify.greeting());
                                           this->notify.opened(id);
                                       },
                                       [this, id, number](wire::message message) {
                                           if (this->find(id, number) != nullptr) {
                                               this->notify.received(id, std::move(message));
                                           }
                                       },
                                       [this, id, number](const std::string& reason) {
                                           peer_state* lost = this->find(id, number);
                                           if (lost == nullptr) {
                                               return;
                                           }
                                           const bool was_open = lost->is_open;
                                           this->close(*lost);
                                           lost->retry_at = std::exchange(lost->is_reachable, false)
                                                                ? this->time.now()
                                                                : this->time.now() + retry_interval;
                                           this->dial_timer.arm(lost->retry_at);
                                           if (was_open) {
                                               spdlog::info("link lost instance={} reason=\"{}\"",
                                                            id.value(), reason);
                                               this->notify.lost(id);
                                           }
                                       }});
}

member_links::peer_state* member_links::find(const instance_id& id, std::uint64_t dial) {
    const auto found = this->peers.find(id);
    return found != this->peers.end() && found->second.dial == dial ? &found->second : nullptr;
}

} // namespace kingcupcart::group
