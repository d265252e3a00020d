#include "group/member_links.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::group {

namespace {

/// Pause before a lost link is dialled again.
constexpr duration retry_interval = std::chrono::milliseconds(300);

} // namespace

member_links::member_links(const clock& time, callbacks notify)
    : time(time),
      notify(std::move(notify)),
      dialing([this] { this->dial_due(); }),
      cleaning([this] { this->retired.clear(); }) {}

member_links::~member_links() = default;

void member_links::add(const instance_id& id, const endpoint& address) {
    auto [place, is_new] = this->neighbours.try_emplace(id);
    neighbour& one = place->second;
    if (!is_new && one.address == address) {
        return;
    }
    this->drop(one);
    one.address = address;
    one.retry_at = this->time.now();
    this->dialing.arm_now();
}

void member_links::remove(const instance_id& id) {
    const auto found = this->neighbours.find(id);
    if (found != this->neighbours.end()) {
        this->drop(found->second);
        this->neighbours.erase(found);
    }
}

void member_links::drop(neighbour& one) {
    one.is_open = false;
    if (one.link) {
        this->retired.push_back(std::move(one.link));
        this->cleaning.arm_now();
    }
}

bool member_links::send(const instance_id& to, const wire::message& said) {
    const auto found = this->neighbours.find(to);
    return found != this->neighbours.end() && found->second.is_open &&
           found->second.link->send(said);
}

void member_links::send_to_all(const wire::message& said) {
    for (auto& [id, one] : this->neighbours) {
        if (one.is_open) {
            one.link->send(said);
        }
    }
}

bool member_links::is_open(const instance_id& id) const {
    const auto found = this->neighbours.find(id);
    return found != this->neighbours.end() && found->second.is_open;
}

std::size_t member_links::open_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->neighbours.begin(), this->neighbours.end(),
                      [](const auto& item) { return item.second.is_open; }));
}

std::vector<instance_id> member_links::ids() const {
    std::vector<instance_id> all;
    for (const auto& [id, one] : this->neighbours) {
        all.push_back(id);
    }
    return all;
}

const endpoint* member_links::address_of(const instance_id& id) const {
    const auto found = this->neighbours.find(id);
    return found == this->neighbours.end() ? nullptr : &found->second.address;
}

void member_links::dial_due() {
    const time_point now = this->time.now();
    time_point next = time_point::max();
    for (auto& [id, one] : this->neighbours) {
        if (one.link) {
            continue;
        }
        if (one.retry_at <= now) {
            this->dial(id);
        } else {
            next = std::min(next, one.retry_at);
        }
    }
    if (next != time_point::max()) {
        this->dialing.arm(next);
    }
}

void member_links::dial(const instance_id& id) {
    neighbour& one = this->neighbours.at(id);
    one.link = wire::peer_link::dial(
        one.address,
        {[this, id] {
             neighbour& opened = this->neighbours.at(id);
             opened.is_open = true;
             opened.link->send(this->notify.greeting());
             this->notify.opened(id);
         },
         [this, id](wire::message said) { this->notify.received(id, std::move(said)); },
         [this, id](const std::string& reason) {
             neighbour& lost = this->neighbours.at(id);
             const bool was_open = lost.is_open;
             this->drop(lost);
             lost.retry_at = this->time.now() + retry_interval;
             this->dialing.arm(lost.retry_at);
             if (was_open) {
                 spdlog::info("link lost instance={} reason=\"{}\"", id.value(), reason);
                 this->notify.lost(id);
             }
         }});
}

} // namespace kingcupcart::group
