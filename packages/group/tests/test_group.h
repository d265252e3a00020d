#pragma once

#include "base/clock.h"
#include "base/system_clock.h"
#include "group/replicated_log.h"
#include "group/tests/test_disk.h"
#include "task/wakeup.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kingcupcart::group {

/// A group of replicated logs in one event loop, each with a disk under test. Applied commands are
/// the state of a member, which its snapshots save.
class test_group {
public:
    test_group(std::uint64_t seed, std::size_t size);
    ~test_group();

    struct member {
        explicit member(std::uint64_t seed) : disk(seed) {}

        instance_id id;
        test_disk disk;
        /// Null while the member's process is not running.
        std::unique_ptr<replicated_log> log;
        std::vector<std::string> applied;
        bool leads = false;
        std::size_t resumptions = 0;
    };

    void start(member& started);
    /// Ends the member's process; its machine loses power.
    void lose_power(member& stopped);
    [[nodiscard]] member& at(std::size_t index) { return *this->members.at(index); }
    [[nodiscard]] std::size_t size() const { return this->members.size(); }
    /// The running member that leads and is not suspended; null if none.
    [[nodiscard]] member* leader();
    /// Proposes the next command to the leader, if any.
    void propose(std::size_t padding = 0);
    /// Whether every member runs and has applied every acknowledged command.
    [[nodiscard]] bool has_converged() const;
    /// Whether the commands that any two members applied agree, and none is applied twice.
    [[nodiscard]] bool is_consistent() const;
    /// Commands that a leader applied, and would have acknowledged.
    [[nodiscard]] const std::set<std::string>& acknowledged() const { return this->acks; }
    /// Messages other than a resignation that a suspended member sent.
    [[nodiscard]] std::size_t sent_while_suspended() const { return this->wrongly_sent; }

private:
    struct envelope {
        instance_id to;
        quorum::message content;
    };

    void deliver();
    void send(const member& from, const instance_id& to, const quorum::message& content);

    system_clock time;
    std::uint64_t seed;
    std::vector<std::unique_ptr<member>> members;
    std::deque<envelope> network;
    std::set<std::string> acks;
    std::size_t wrongly_sent = 0;
    std::uint64_t last_command = 0;
    task::wakeup delivery;
};

} // namespace kingcupcart::group
