#include "base/system_clock.h"
#include "group/member_links.h"
#include "task/event_loop.h"
#include "task/wakeup.h"
#include "wire/listener.h"
#include "wire/peer_link.h"

#include <doctest/doctest.h>

#include <gio/gio.h>

#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::group;
using namespace std::chrono_literals;

namespace {

/// More than a handshake takes.
constexpr std::size_t max_handshake_events = 20;
constexpr duration max_time = 5s;

/// Another member, on the same event loop as the links to it.
class other_member {
public:
    other_member() {
        auto opened = value_or_error([&] {
            return wire::listener::open({"127.0.0.1", 0}, [this](GSocketConnection* connection) {
                this->accepted.push_back(wire::peer_link::accept(
                    connection, {[] {}, [this](const wire::message&) { ++this->greetings; },
                                 [](const std::string&) {}}));
            });
        });
        REQUIRE(std::holds_alternative<std::unique_ptr<wire::listener>>(opened));
        this->listening = std::get<std::unique_ptr<wire::listener>>(std::move(opened));
    }

    [[nodiscard]] const endpoint& address() const { return this->listening->address(); }
    [[nodiscard]] std::size_t greeting_count() const { return this->greetings; }

private:
    std::vector<std::unique_ptr<wire::peer_link>> accepted;
    std::size_t greetings = 0;
    std::unique_ptr<wire::listener> listening;
};

const instance_id other_id("b");

/// A member that dials another one, which is on the same event loop.
struct dialling_member {
    task::event_loop loop;
    system_clock time;
    std::unique_ptr<other_member> other;
    /// Open before any link is dialled, so that events of sockets precede those of timers.
    std::unique_ptr<wire::peer_link> earlier_link;
    std::size_t opened_links = 0;
    std::size_t lost_links = 0;
    std::unique_ptr<member_links> links;

    dialling_member() {
        this->loop.enter();
        this->other = std::make_unique<other_member>();
        bool is_open = false;
        this->earlier_link = wire::peer_link::dial(
            this->other->address(),
            {[&] { is_open = true; }, [](const wire::message&) {}, [](const std::string&) {}});
        while (!is_open) {
            g_main_context_iteration(this->loop.context(), TRUE);
        }
        this->links = std::make_unique<member_links>(
            this->time,
            member_links::callbacks{[] { return wire::hello(); },
                                    [this](const instance_id& /*id*/) { ++this->opened_links; },
                                    [](const instance_id& /*id*/, const wire::message& /*sent*/) {},
                                    [this](const instance_id& /*id*/) { ++this->lost_links; }});
    }
    ~dialling_member() {
        this->links.reset();
        this->earlier_link.reset();
        this->other.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->loop.leave();
    }
    dialling_member(const dialling_member&) = delete;
    dialling_member& operator=(const dialling_member&) = delete;

    /// Handles events of the loop until the other member is greeted, at most this many of them.
    /// Returns whether it is.
    bool handle_until_greeted(std::size_t max_events) const {
        bool is_over = false;
        task::wakeup timeout([&] { is_over = true; });
        timeout.arm(this->time.now() + max_time);
        for (std::size_t i = 0; i < max_events && !is_over; ++i) {
            if (this->other->greeting_count() > 0) {
                return true;
            }
            g_main_context_iteration(this->loop.context(), TRUE);
        }
        return this->other->greeting_count() > 0;
    }
};

} // namespace

// Guards against a link that was given up and calls back before it is destroyed: an instance ended
// by signal 11 when its handshake was completed in between.
SCENARIO("a link that is given up during its handshake calls back no more") {
    for (std::size_t events = 0; events < max_handshake_events; ++events) {
        SUBCASE(("Given: a dial that began " + std::to_string(events) + " events ago").c_str()) {
            dialling_member dialling;
            dialling.links->add(other_id, dialling.other->address());
            dialling.handle_until_greeted(events);
            WHEN("the other member is known to accept links") {
                dialling.links->reconnect(other_id);
                THEN("one link is opened, and greets it once") {
                    CHECK(dialling.handle_until_greeted(std::numeric_limits<std::size_t>::max()));
                    CHECK(dialling.opened_links == 1);
                    CHECK(dialling.lost_links == 0);
                    CHECK(dialling.other->greeting_count() == 1);
                }
            }
        }
    }
}
