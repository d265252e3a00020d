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

/// One member of a group of instances that agree on commands: the replicated log, the links to the
/// other members, the state, and the commands whose end somebody here awaits.
template <group_codec Codec>
class group {
public:
    using state_machine = typename Codec::state_machine;
    using command = typename state_machine::command;
    using result = typename state_machine::result;
    /// Told the result, or nothing where no majority was reached in time: the command may or may
    /// not take effect then.
    using command_end = std::function<void(const std::optional<result>&)>;

    struct parameters {
        replicated_log::parameters log;
        incarnation_id incarnation;
        std::function<wire::hello()> greeting;
    };
    struct callbacks {
        /// A command took effect, here or elsewhere first.
        std::function<void(const command&, const result&)> applied;
        /// The state was replaced as a whole.
        std::function<void()> restored;
        std::function<void(bool is_leader)> leadership_changed;
        /// Another member said this on the link that was dialled to it.
        std::function<void(const wire::message&)> heard;
        /// The link that was dialled to another member is open.
        std::function<void(const instance_id&)> reached;
    };

    /// Fails where the data folder can't be used or its journal is damaged.
    static outcome<std::unique_ptr<group>> open(parameters arguments, callbacks notify) {
        std::unique_ptr<group> made(new group(std::move(arguments), std::move(notify)));
        BOOST_LEAF_CHECK(made->open_log());
        return made;
    }
    ~group() = default;
    group(const group&) = delete;
    group& operator=(const group&) = delete;

    /// From now on this member exchanges messages with that one.
    void add_member(const instance_id& id, const endpoint& address) {
        if (id == this->params.log.self) {
            return;
        }
        this->links.add(id, address);
        this->log->set_others(this->links.ids());
    }

    /// A message that another member sent; false where it is none of the group's.
    bool receive(const wire::message& said) {
        if (const auto* agreement = std::get_if<wire::consensus_message>(&said)) {
            this->log->handle(agreement->content);
        } else if (const auto* forwarded = std::get_if<wire::forward_command>(&said)) {
            static_cast<void>(this->log->propose(forwarded->command));
        } else {
            return false;
        }
        return true;
    }

    /// Has the command agreed, by way of the leader where that is another member.
    void submit(const command& content, command_end ended) {
        typename Codec::logged logged;
        logged.origin = {this->params.log.self, this->params.incarnation, ++this->last_command};
        logged.content = content;
        const std::string bytes = Codec::encode(logged);
        const time_point due = this->params.log.time->now() + command_limit;
        this->waiting.emplace(this->last_command, waiting_command{std::move(ended), due});
        if (!this->log->propose(bytes)) {
            this->links.send(this->log->state().leader(), wire::forward_command{bytes});
        }
        this->arm_limit();
    }

    [[nodiscard]] const state_machine& state() const { return this->content; }
    [[nodiscard]] replicated_log& agreement() { return *this->log; }
    [[nodiscard]] const replicated_log& agreement() const { return *this->log; }
    [[nodiscard]] member_links& members() { return this->links; }
    [[nodiscard]] bool is_leader() const { return this->log->state().is_leader(); }
    /// Leads, and no other can lead at this moment.
    [[nodiscard]] bool leads_for_sure() const {
        return this->log->state().has_fresh_majority(this->params.log.time->now());
    }

    /// A command that was not agreed by then may or may not take effect.
    static constexpr duration command_limit = std::chrono::seconds(3);

private:
    struct waiting_command {
        command_end ended;
        time_point due{};
    };

    group(parameters arguments, callbacks notify)
        : params(std::move(arguments)),
          notify(std::move(notify)),
          links(
              *this->params.log.time,
              {this->params.greeting,
               [this](const instance_id& reached) { this->notify.reached(reached); },
               [this](const instance_id&, const wire::message& said) { this->notify.heard(said); },
               [](const instance_id&) {}}),
          limit([this] { this->end_overdue(); }) {}

    outcome<void> open_log() {
        BOOST_LEAF_ASSIGN(
            this->log,
            replicated_log::open(
                this->params.log,
                {[this](const instance_id& to, const quorum::message& said) {
                     this->links.send(to, wire::consensus_message{said});
                 },
                 [this](const std::string& bytes) { this->apply(bytes); },
                 [this] { this->content = state_machine(); },
                 [this](std::string_view piece) { return Codec::load(this->content, piece); },
                 [this] { this->notify.restored(); },
                 [this](bool is_leader) {
                     spdlog::info("leadership leader={} term={}", is_leader,
                                  this->log->state().term().value());
                     this->notify.leadership_changed(is_leader);
                 },
                 [this] { return Codec::save(this->content); }}));
        return {};
    }

    void apply(const std::string& bytes) {
        auto decoded = value_or_error([&] { return Codec::decode(bytes); });
        if (const auto* problem = std::get_if<error>(&decoded)) {
            // All members pass over it alike.
            spdlog::error("command left out: {}", problem->message);
            return;
        }
        const auto& logged = std::get<typename Codec::logged>(decoded);
        const result outcome = this->content.apply(logged.content);
        this->notify.applied(logged.content, outcome);
        const bool is_own = logged.origin.keeper == this->params.log.self &&
                            logged.origin.incarnation == this->params.incarnation;
        const auto found = this->waiting.find(logged.origin.number);
        if (is_own && found != this->waiting.end()) {
            const command_end ended = std::move(found->second.ended);
            this->waiting.erase(found);
            ended(outcome);
        }
    }

    void end_overdue() {
        const time_point now = this->params.log.time->now();
        for (auto item = this->waiting.begin();
             item != this->waiting.end() && item->second.due <= now;) {
            const command_end ended = std::move(item->second.ended);
            item = this->waiting.erase(item);
            ended(std::nullopt);
        }
        this->arm_limit();
    }

    void arm_limit() {
        // Numbers grow with time, so the first one is due first.
        if (!this->waiting.empty()) {
            this->limit.arm(this->waiting.begin()->second.due);
        }
    }

    parameters params;
    callbacks notify;
    state_machine content;
    std::map<std::uint64_t, waiting_command> waiting;
    std::uint64_t last_command = 0;
    member_links links;
    task::wakeup limit;
    std::unique_ptr<replicated_log> log;
};

} // namespace kingcupcart::group
