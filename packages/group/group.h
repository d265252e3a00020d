#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "group/group_codec.h"
#include "group/member_links.h"
#include "group/replicated_log.h"
#include "task/wakeup.h"
#include "wire/messages.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace kingcupcart::group {

/// One member of a group of instances that replicates a state machine by Raft. Owns the replicated
/// log, the links to the other members, the state machine, and the commands that were submitted
/// here and are not yet applied.
template <group_codec Codec>
class group {
public:
    using state_machine = typename Codec::state_machine;
    using command = typename state_machine::command;
    using result = typename state_machine::result;
    /// Receives the result of a command, or nothing where the command was not committed within
    /// `command_timeout` or this member's log was suspended; it may still take effect later.
    using completion_callback = std::function<void(const std::optional<result>&)>;

    struct parameters {
        replicated_log::parameters log;
        incarnation_id incarnation;
        std::function<wire::hello()> greeting;
    };
    struct callbacks {
        /// A committed command was applied to the state, whichever member submitted it.
        std::function<void(const command&, const result&)> applied;
        /// The whole state was replaced by a snapshot.
        std::function<void()> restored;
        std::function<void(bool is_leader)> leadership_changed;
        /// Another member sent this message over the link that this member dialled.
        std::function<void(const instance_id& from, const wire::message&)> received;
        /// The link that this member dialled to another member is open.
        std::function<void(const instance_id&)> connected;
        /// That link is lost.
        std::function<void(const instance_id&)> disconnected;
        /// The replicated log was suspended by its disk, and takes part again.
        std::function<void()> resumed;
    };

    /// Fails where the data folder can't be used or its journal is corrupt.
    static outcome<std::unique_ptr<group>> open(parameters arguments, callbacks notify) {
        std::unique_ptr<group> created(new group(std::move(arguments), std::move(notify)));
        BOOST_LEAF_CHECK(created->open_log());
        return created;
    }
    ~group() = default;
    group(const group&) = delete;
    group& operator=(const group&) = delete;

    /// Opens a link to another member and keeps it open. This member's own id is ignored.
    void add_member(const instance_id& id, const endpoint& address) {
        if (id == this->params.log.local_id) {
            return;
        }
        this->links.add(id, address);
        this->log->set_peers(this->links.ids());
    }

    /// Handles a message of another member; returns false where the message isn't for the group.
    bool receive(const wire::message& message) {
        if (const auto* log_message = std::get_if<wire::consensus_message>(&message)) {
            this->log->handle(log_message->content);
        } else if (const auto* forwarded = std::get_if<wire::forward_command>(&message)) {
            static_cast<void>(this->log->propose(forwarded->command));
        } else {
            return false;
        }
        return true;
    }

    /// Proposes the command, or forwards it to the leader where that is another member. Calls
    /// `on_complete` once, when the command has been applied here or has timed out.
    void submit(const command& content, completion_callback on_complete) {
        typename Codec::logged_command logged_command;
        logged_command.origin = {this->params.log.local_id, this->params.incarnation,
                                 ++this->last_command_number};
        logged_command.content = content;
        const std::string bytes = Codec::encode(logged_command);
        const duration time_left =
            this->log->is_suspended() ? duration::zero() : duration(command_timeout);
        const time_point deadline = this->params.log.time->now() + time_left;
        this->pending_commands.emplace(this->last_command_number,
                                       pending_command{std::move(on_complete), deadline});
        if (!this->log->propose(bytes)) {
            this->links.send(this->log->state().leader(), wire::forward_command{bytes});
        }
        this->arm_timeout();
    }

    /// Prepares the end of the process: gives up leadership, and completes the commands that were
    /// submitted here as unknown, so that their callers get an answer. Calls `on_done` once the
    /// messages about it had the time to leave.
    void hand_over(const std::function<void()>& on_done) {
        this->on_handed_over = on_done;
        this->log->hand_over();
        this->complete_all_as_unknown();
        this->handover_timer.arm(this->params.log.time->now() + handover_time);
    }

    [[nodiscard]] const state_machine& state() const { return this->applied_state; }
    [[nodiscard]] replicated_log& consensus() { return *this->log; }
    [[nodiscard]] const replicated_log& consensus() const { return *this->log; }
    [[nodiscard]] member_links& members() { return this->links; }
    [[nodiscard]] bool is_leader() const { return this->log->state().is_leader(); }
    /// Whether this member leads and has recent contact with a majority, so that no other member
    /// can have been elected leader.
    [[nodiscard]] bool has_leader_lease() const {
        return this->log->state().has_recent_majority_contact(this->params.log.time->now());
    }

    /// A command that has not been committed within this time completes without a result.
    static constexpr duration command_timeout = std::chrono::seconds(3);
    /// Time for the last messages of a member that stops: several network delays between regions.
    static constexpr duration handover_time = std::chrono::milliseconds(100);

private:
    struct pending_command {
        completion_callback on_complete;
        time_point deadline{};
    };

    group(parameters arguments, callbacks notify)
        : params(std::move(arguments)),
          notify(std::move(notify)),
          links(*this->params.log.time,
                {this->params.greeting,
                 [this](const instance_id& member) {
                     this->log->handle_connected(member);
                     this->notify.connected(member);
                 },
                 [this](const instance_id& from, const wire::message& message) {
                     this->notify.received(from, message);
                 },
                 [this](const instance_id& member) { this->notify.disconnected(member); }}),
          timeout([this] { this->expire_commands(); }),
          handover_timer([this] {
              if (const auto done = std::exchange(this->on_handed_over, nullptr)) {
                  done();
              }
          }) {}

    outcome<void> open_log() {
        BOOST_LEAF_ASSIGN(
            this->log,
            replicated_log::open(
                this->params.log,
                {[this](const instance_id& to, const quorum::message& message) {
                     this->links.send(to, wire::consensus_message{message});
                 },
                 [this](const std::string& bytes) { this->apply(bytes); },
                 [this] { this->applied_state = state_machine(); },
                 [this](std::string_view piece) { return Codec::load(this->applied_state, piece); },
                 [this] { this->notify.restored(); },
                 [this](bool is_leader) {
                     spdlog::info("leadership changed leader={} term={}", is_leader,
                                  this->log->state().term().value());
                     this->notify.leadership_changed(is_leader);
                 },
                 [this] { return Codec::save(this->applied_state); },
                 [this] { this->complete_all_as_unknown(); }, [this] { this->notify.resumed(); }}));
        return {};
    }

    void complete_all_as_unknown() {
        for (const auto& [number, command] : std::exchange(this->pending_commands, {})) {
            command.on_complete(std::nullopt);
        }
    }

    void apply(const std::string& bytes) {
        auto decoded = value_or_error([&] { return Codec::decode(bytes); });
        if (const auto* problem = std::get_if<error>(&decoded)) {
            // Every member skips the same command, so their states stay equal.
            spdlog::error("committed command can't be decoded and is skipped: {}",
                          problem->message);
            return;
        }
        const auto& logged_command = std::get<typename Codec::logged_command>(decoded);
        const result applied_result = this->applied_state.apply(logged_command.content);
        this->notify.applied(logged_command.content, applied_result);
        const bool is_local = logged_command.origin.keeper == this->params.log.local_id &&
                              logged_command.origin.incarnation == this->params.incarnation;
        const auto found = this->pending_commands.find(logged_command.origin.number);
        if (is_local && found != this->pending_commands.end()) {
            const completion_callback on_complete = std::move(found->second.on_complete);
            this->pending_commands.erase(found);
            on_complete(applied_result);
        }
    }

    void expire_commands() {
        const time_point now = this->params.log.time->now();
        for (auto item = this->pending_commands.begin();
             item != this->pending_commands.end() && item->second.deadline <= now;) {
            const completion_callback on_complete = std::move(item->second.on_complete);
            item = this->pending_commands.erase(item);
            on_complete(std::nullopt);
        }
        this->arm_timeout();
    }

    void arm_timeout() {
        // Commands are numbered in the order of their deadlines.
        if (!this->pending_commands.empty()) {
            this->timeout.arm(this->pending_commands.begin()->second.deadline);
        }
    }

    parameters params;
    callbacks notify;
    state_machine applied_state;
    std::map<std::uint64_t, pending_command> pending_commands;
    std::uint64_t last_command_number = 0;
    member_links links;
    task::wakeup timeout;
    std::function<void()> on_handed_over;
    task::wakeup handover_timer;
    std::unique_ptr<replicated_log> log;
};

} // namespace kingcupcart::group
