#include "group/tests/test_group.h"

#include "group/tests/test_storage.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace kingcupcart::group {

test_group::test_group(std::uint64_t seed, std::size_t size)
    : seed(seed), delivery([this] { this->deliver(); }) {
    for (std::size_t i = 0; i < size; ++i) {
        this->members.push_back(std::make_unique<member>(seed * size + i));
        this->members.back()->id = instance_id(std::string(1, static_cast<char>('a' + i)));
    }
    for (const auto& created : this->members) {
        this->start(*created);
    }
}

test_group::~test_group() = default;

void test_group::start(member& started) {
    replicated_log::parameters arguments;
    arguments.local_id = started.id;
    for (const auto& other : this->members) {
        arguments.initial_members.push_back(other->id);
        if (other->id != started.id) {
            arguments.peers.push_back(other->id);
        }
    }
    arguments.seed = ++this->seed;
    arguments.time = &this->time;
    arguments.open_storage = [&started]() -> outcome<std::unique_ptr<journal::storage>> {
        return std::unique_ptr<journal::storage>(std::make_unique<test_storage>(started.disk));
    };
    replicated_log::callbacks notify;
    notify.send = [this, &started](const instance_id& to, const quorum::message& content) {
        this->send(started, to, content);
    };
    notify.apply = [this, &started](const std::string& command) {
        started.applied.push_back(command);
        if (started.leads) {
            this->acks.insert(command);
        }
    };
    notify.clear_state = [&started] { started.applied.clear(); };
    notify.load_piece = [&started](std::string_view piece) -> outcome<void> {
        started.applied.emplace_back(piece);
        return {};
    };
    notify.restored = [] {};
    notify.leadership_changed = [&started](bool is_leader) { started.leads = is_leader; };
    notify.save = [&started]() -> state_source {
        return [commands = started.applied, next = std::size_t{0}](std::string& piece) mutable {
            if (next == commands.size()) {
                return false;
            }
            piece = commands[next++];
            return true;
        };
    };
    notify.suspended = [&started] { CHECK_FALSE(started.leads); };
    notify.resumed = [&started] { ++started.resumptions; };
    auto opened =
        value_or_error([&] { return replicated_log::open(arguments, std::move(notify)); });
    if (const auto* problem = std::get_if<error>(&opened)) {
        FAIL_CHECK("member can't be started: " << problem->message);
        return;
    }
    started.log = std::get<std::unique_ptr<replicated_log>>(std::move(opened));
}

void test_group::lose_power(member& stopped) {
    stopped.log.reset();
    stopped.leads = false;
    stopped.applied.clear();
    stopped.disk.lose_power();
}

void test_group::send(const member& from, const instance_id& to, const quorum::message& content) {
    if (from.log && from.log->is_suspended() &&
        !std::holds_alternative<quorum::resignation>(content)) {
        ++this->wrongly_sent;
    }
    this->network.push_back({to, content});
    this->delivery.arm_now();
}

void test_group::deliver() {
    for (const envelope& next : std::exchange(this->network, {})) {
        for (const auto& receiver : this->members) {
            if (receiver->id == next.to && receiver->log) {
                receiver->log->handle(next.content);
            }
        }
    }
}

test_group::member* test_group::leader() {
    for (const auto& candidate : this->members) {
        if (candidate->log && candidate->leads && candidate->log->state().is_leader()) {
            return candidate.get();
        }
    }
    return nullptr;
}

void test_group::propose(std::size_t padding) {
    if (member* leading = this->leader()) {
        static_cast<void>(leading->log->propose("c" + std::to_string(++this->last_command) +
                                                std::string(padding, '.')));
    }
}

bool test_group::has_converged() const {
    return std::all_of(this->members.begin(), this->members.end(), [this](const auto& member) {
        const std::set<std::string> held(member->applied.begin(), member->applied.end());
        return member->log && !member->log->is_suspended() &&
               std::includes(held.begin(), held.end(), this->acks.begin(), this->acks.end());
    });
}

bool test_group::is_consistent() const {
    for (const auto& first : this->members) {
        if (std::set<std::string>(first->applied.begin(), first->applied.end()).size() !=
            first->applied.size()) {
            return false;
        }
        for (const auto& second : this->members) {
            const std::size_t shared = std::min(first->applied.size(), second->applied.size());
            if (!std::equal(first->applied.begin(),
                            first->applied.begin() + static_cast<std::ptrdiff_t>(shared),
                            second->applied.begin())) {
                return false;
            }
        }
    }
    return true;
}

} // namespace kingcupcart::group
