#include "duties/duty_lease.h"

#include "duties/call_schedule.h"
#include "duties/tests/simulated_platform.h"
#include "quorum/tests/cluster.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::duties;
using namespace std::chrono_literals;

namespace {

constexpr duration lease_time = 3s;
/// Time without acknowledgement after which the kernel closes a connection (TCP_USER_TIMEOUT).
constexpr duration kernel_timeout = 3s;
constexpr duration call_timeout = 1500ms;
constexpr duration step = 20ms;

/// Keepers that report usage: the n-th command of their log holds the counts of window n.
class keepers {
public:
    explicit keepers(std::uint64_t seed) : group(seed, 5), platform(lease_time), random(seed) {
        this->group.keeps_backlog = true;
        for (const instance_id& id : this->group.ids) {
            this->nodes[id];
        }
    }

    void run(duration time, bool with_faults) {
        this->has_faults = with_faults;
        for (duration passed{}; passed < time; passed += step) {
            if (with_faults) {
                this->change_faults();
            }
            this->group.advance(step);
            for (const instance_id& id : this->group.ids) {
                this->act(id);
            }
            this->deliver();
        }
    }
    void end_faults() {
        this->group.heal();
        this->group.unmute();
        this->cut_off.reset();
        for (const instance_id& id : this->group.ids) {
            this->thaw(id);
            if (!this->group.is_running(id)) {
                this->restart(id, false);
            }
        }
    }

    quorum::cluster group;
    simulated_platform platform;

private:
    enum class phase { opening, written, answered, over };
    struct call {
        std::uint64_t number = 0;
        phase state = phase::opening;
        fencing_token fence;
        std::string window;
        std::string counts;
        time_point opens_at{};
        time_point arrives_at{};
        time_point written_at{};
        time_point deadline{};
        call_outcome answer = call_outcome::accepted;
        /// Its sender no longer waits for it.
        bool is_ended = false;
    };
    struct node {
        duty_lease lease{{lease_time}};
        call_schedule schedule{{}};
        bool is_leading = false;
        bool is_frozen = false;
        std::vector<call> calls;
        /// Windows whose report was queued since this node leads.
        std::size_t queued = 0;
    };

    bool chance(int one_in) { return this->random() % static_cast<unsigned>(one_in) == 0; }
    duration up_to(duration longest) {
        return duration(static_cast<std::int64_t>(this->random() %
                                                  static_cast<std::uint64_t>(longest.count() + 1)));
    }
    const instance_id& any() { return this->group.ids[this->random() % this->group.ids.size()]; }
    /// Faults concern the leader most of the time.
    instance_id victim() {
        return this->chance(3) ? this->any() : this->group.leader().value_or(this->any());
    }

    void change_faults() {
        const instance_id id = this->victim();
        if (this->chance(150)) {
            this->group.freeze(id, true);
            this->nodes[id].is_frozen = true;
        }
        for (const instance_id& other : this->group.ids) {
            if (this->nodes[other].is_frozen && this->chance(250)) {
                this->thaw(other);
            }
        }
        if (this->chance(120)) {
            this->chance(2) ? this->group.isolate(id) : this->group.mute(id);
        } else if (this->chance(60)) {
            this->group.heal();
            this->group.unmute();
        }
        if (this->chance(120)) {
            this->cut_off = id;
        } else if (this->chance(60)) {
            this->cut_off.reset();
        }
        if (this->chance(150) && !this->nodes[id].is_frozen) {
            this->restart(id, this->chance(6) && this->group.spare_voters() > 0);
        }
    }
    void thaw(const instance_id& id) {
        if (!std::exchange(this->nodes[id].is_frozen, false)) {
            return;
        }
        // The timers of the thawed holder run before it has read what arrived meanwhile.
        this->act(id);
        while (this->group.handle_backlog(id)) {
        }
    }
    void restart(const instance_id& id, bool is_replaced) {
        this->group.stop(id);
        if (is_replaced) {
            this->group.erase_disk(id);
        }
        this->group.start(id);
        // What was written stays on its way.
        std::vector<call> sent = std::move(this->nodes[id].calls);
        std::erase_if(sent, [](const call& open) { return open.state != phase::written; });
        this->nodes[id] = node();
        this->nodes[id].calls = std::move(sent);
    }

    std::optional<fencing_token> authority(const instance_id& id) {
        return this->nodes[id].lease.authority(
            {this->group.has_lease(id), fencing_token(this->group.term(id).value())},
            {this->group.time(), duration{}});
    }
    std::vector<std::string> windows_of(const instance_id& id) {
        std::vector<std::string> commands;
        std::istringstream text(this->group.applied(id));
        for (std::string command; std::getline(text, command, ';');) {
            commands.push_back(command);
        }
        return commands;
    }

    void act(const instance_id& id) {
        node& self = this->nodes[id];
        if (self.is_frozen || !this->group.is_running(id)) {
            return;
        }
        const time_point now = this->group.time();
        const bool is_leading = this->group.known_leader(id) == id;
        if (is_leading != self.is_leading) {
            self.is_leading = is_leading;
            self.lease.leadership_changed(is_leading, {now, duration{}});
            self.schedule.clear();
            self.queued = 0;
            // Calls that are not written are cancelled.
            std::erase_if(self.calls,
                          [](const call& open) { return open.state == phase::opening; });
        }
        if (this->authority(id)) {
            if (this->chance(25)) {
                this->group.propose_at(id);
            }
            this->queue(id, self);
            if (const auto number = self.schedule.take_due(now)) {
                this->open(self, *number);
            }
        }
        for (call& open : self.calls) {
            this->proceed(id, self, open);
        }
        std::erase_if(self.calls, [](const call& open) { return open.state == phase::over; });
    }
    void queue(const instance_id& id, node& self) {
        const auto windows = this->windows_of(id);
        // A new holder repeats the last windows, since it can't know what was sent.
        constexpr std::size_t repeated = 3;
        if (self.queued == 0 && windows.size() > repeated) {
            self.queued = windows.size() - repeated;
        }
        for (; self.queued < windows.size(); ++self.queued) {
            usage_report report;
            report.window = self.queued + 1;
            report.counts[account_name(windows[self.queued])] = 1;
            self.schedule.add(report, this->group.time());
            this->reports.insert_or_assign({id, report.window}, windows[self.queued]);
        }
    }
    void open(node& self, std::uint64_t number) {
        call next;
        next.number = number;
        const std::size_t window = self.queued - self.schedule.size() + 1;
        next.window = std::to_string(window);
        next.opens_at = this->group.time() + this->up_to(500ms);
        next.deadline = this->group.time() + call_timeout;
        self.calls.push_back(next);
    }
    void proceed(const instance_id& id, node& self, call& open) {
        const time_point now = this->group.time();
        if (open.state == phase::opening && open.opens_at <= now) {
            const auto fence = this->authority(id);
            // After a thaw, the socket may be ready before the timeout is seen.
            if (!fence) {
                open.state = phase::over;
                self.schedule.end_attempt(open.number, call_outcome::unknown, now);
                return;
            }
            open.fence = *fence;
            open.counts = this->reports.at({id, std::stoull(open.window)});
            open.state = phase::written;
            open.written_at = now;
            open.arrives_at = now + this->up_to(this->chance(4) ? 1s : 50ms);
            open.answer =
                this->has_faults && this->chance(3) ? call_outcome::busy : call_outcome::accepted;
            if (this->has_faults && this->chance(5)) {
                open.answer = call_outcome::unknown; // silent, reset or slow
            }
        }
        // A frozen sender reads the response once it has thawed.
        const bool is_answered = open.state == phase::answered;
        if ((is_answered || (open.state == phase::written && now >= open.deadline)) &&
            !std::exchange(open.is_ended, true)) {
            self.schedule.end_attempt(open.number,
                                      is_answered ? open.answer : call_outcome::unknown, now);
        }
        if (is_answered) {
            open.state = phase::over;
        }
    }
    void deliver() {
        const time_point now = this->group.time();
        for (auto& [id, self] : this->nodes) {
            for (call& open : self.calls) {
                if (open.state != phase::written || open.arrives_at > now) {
                    continue;
                }
                const bool is_cut = this->cut_off == id;
                if (is_cut && now - open.written_at < kernel_timeout) {
                    continue; // the kernel sends it again
                }
                open.state = phase::answered;
                if (is_cut) {
                    open.answer = call_outcome::unknown;
                } else {
                    this->platform.receive(id, open.fence, open.window, open.counts, now);
                }
            }
        }
    }

    std::mt19937_64 random;
    bool has_faults = false;
    std::map<instance_id, node> nodes;
    /// What each keeper holds of each window's counts.
    std::map<std::pair<instance_id, std::uint64_t>, std::string> reports;
    /// The keeper that can't reach the platform.
    std::optional<instance_id> cut_off;
};

const log_leadership sure{true, fencing_token(4)};

} // namespace

// Guards against two keepers that send calls in turn around a change of leader: one that was frozen
// before or after its leadership was confirmed, one that is cut off in one direction, one that
// restarted or was replaced, and one whose calls are on their way for long.
TEST_CASE("calls of successive holders don't interleave over 1000 seeds") {
    constexpr std::uint64_t seeds = 1000;
    std::size_t calls = 0;
    std::size_t windows = 0;
    std::size_t holders = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        keepers deployment(seed);
        deployment.run(3s, false);
        deployment.run(40s, true);
        deployment.end_faults();
        const std::size_t before = deployment.platform.window_count();
        deployment.run(10s, false);
        // The deployment recovers: it reports further windows.
        CHECK(deployment.platform.window_count() > before);
        calls += deployment.platform.call_count();
        windows += deployment.platform.window_count();
        holders += deployment.platform.holder_count();
    }
    MESSAGE("calls ", calls, " windows ", windows, " holders ", holders);
    // The faults must lead to changes of the holder.
    CHECK(holders > 2 * seeds);
}

TEST_CASE("the lease of a duty") {
    duty_lease lease({lease_time});
    duty_time time{time_point(100s), duration{}};

    SUBCASE("a keeper that does not lead may not send") {
        CHECK_FALSE(lease.authority(sure, time));
        CHECK_FALSE(lease.begins_at());
    }
    SUBCASE("a new leader waits until calls of an earlier one have arrived") {
        lease.leadership_changed(true, time);
        CHECK_FALSE(lease.authority(sure, time));
        time.now += lease_time;
        CHECK_FALSE(lease.authority(sure, time));
        time.now += 300ms;
        CHECK(lease.authority(sure, time) == fencing_token(4));

        SUBCASE("and stops as soon as its leadership is not sure") {
            CHECK_FALSE(lease.authority({false, fencing_token(4)}, time));
            CHECK(lease.authority(sure, time));
        }
        SUBCASE("and waits again in a new term, though no loss was reported in between") {
            CHECK_FALSE(lease.authority({true, fencing_token(6)}, time));
            time.now += lease_time + 300ms;
            CHECK(lease.authority({true, fencing_token(6)}, time) == fencing_token(6));
        }
        // The monotonic clock stands still meanwhile, so that old contacts with a majority look
        // recent after it.
        SUBCASE("and after a suspension of its machine sends only when confirmed anew") {
            time.suspended += 10s;
            CHECK_FALSE(lease.authority(sure, time));
            time.now += 499ms;
            CHECK_FALSE(lease.authority(sure, time));
            time.now += 1ms;
            CHECK(lease.authority(sure, time));
        }
        SUBCASE("and takes the resolution of the clocks for no suspension") {
            time.suspended += 1ms;
            CHECK(lease.authority(sure, time));
            time.suspended -= 1ms;
            CHECK(lease.authority(sure, time));
        }
        SUBCASE("and sends nothing once it has lost the leadership") {
            lease.leadership_changed(false, time);
            CHECK_FALSE(lease.authority(sure, time));
        }
    }
}
