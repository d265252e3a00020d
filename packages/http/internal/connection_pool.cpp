#include "http/internal/connection_pool.h"

#include "http/internal/connection.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kingcupcart::http {

namespace {

constexpr duration max_idle_time = std::chrono::seconds(30);
/// A connection is not used any more this long before its peer closes it, so that a request does
/// not cross the close.
constexpr duration keep_alive_margin = std::chrono::milliseconds(250);
constexpr duration expiry_interval = std::chrono::seconds(1);

} // namespace

connection_pool::connection_pool(const clock& time)
    : time(time), expiry_timer([this] { this->close_expired(); }) {}

connection_pool::~connection_pool() = default;

std::unique_ptr<connection> connection_pool::take(const endpoint& peer) {
    const auto found = this->connections.find(peer);
    if (found == this->connections.end()) {
        return nullptr;
    }
    auto& idle = found->second;
    while (!idle.empty()) {
        idle_connection last = std::move(idle.back());
        idle.pop_back();
        if (this->is_usable(last)) {
            return std::move(last.open);
        }
    }
    return nullptr;
}

bool connection_pool::contains(const endpoint& peer) const {
    const auto found = this->connections.find(peer);
    return found != this->connections.end() &&
           std::any_of(found->second.rbegin(), found->second.rend(),
                       [&](const idle_connection& idle) { return this->is_usable(idle); });
}

void connection_pool::close(const endpoint& peer) {
    this->connections.erase(peer);
}

bool connection_pool::is_usable(const idle_connection& idle) const {
    // The event loop may not have noticed yet that the connection became readable.
    return idle.expires_at > this->time.now() && !idle.open->has_input();
}

void connection_pool::add(std::unique_ptr<connection> unused,
                          std::optional<duration> keep_alive_time) {
    const duration usable = keep_alive_time ? *keep_alive_time - keep_alive_margin : max_idle_time;
    const endpoint peer = unused->peer();
    const connection* identity = unused.get();
    unused->read_at_once();
    unused->set_handler([this, peer, identity] { this->remove(peer, identity); });
    if (this->connections.empty()) {
        this->expiry_timer.arm(this->time.now() + expiry_interval);
    }
    this->connections[peer].push_back(
        {std::move(unused), this->time.now() + std::min(usable, max_idle_time)});
}

void connection_pool::remove(const endpoint& peer, const connection* closed) {
    const auto found = this->connections.find(peer);
    if (found != this->connections.end()) {
        std::erase_if(found->second,
                      [&](const idle_connection& idle) { return idle.open.get() == closed; });
    }
}

void connection_pool::close_expired() {
    const time_point now = this->time.now();
    for (auto& [peer, idle] : this->connections) {
        std::erase_if(idle,
                      [&](const idle_connection& unused) { return unused.expires_at <= now; });
    }
    std::erase_if(this->connections, [](const auto& entry) { return entry.second.empty(); });
    if (!this->connections.empty()) {
        this->expiry_timer.arm(now + expiry_interval);
    }
}

} // namespace kingcupcart::http
