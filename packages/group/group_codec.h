#pragma once

#include "base/outcome.h"
#include "group/state_source.h"
#include "replicated/commands.h"

#include <concepts>
#include <string>
#include <string_view>

namespace kingcupcart::group {

/// The state machine that a group replicates, and the encoding of its commands and its state.
///
/// `state_machine` is the replicated state. The log stores each command together with its `origin`.
/// A state is saved in pieces, which are loaded into an empty state machine one by one.
template <typename Candidate>
concept group_codec = requires(typename Candidate::state_machine state_machine,
                               const typename Candidate::logged_command& logged_command,
                               std::string_view bytes) {
    {
        state_machine.apply(logged_command.content)
        } -> std::same_as<typename Candidate::state_machine::result>;
    { logged_command.origin } -> std::convertible_to<replicated::command_origin>;
    { Candidate::encode(logged_command) } -> std::same_as<std::string>;
    { Candidate::decode(bytes) } -> std::same_as<outcome<typename Candidate::logged_command>>;
    { Candidate::save(state_machine) } -> std::same_as<state_source>;
    { Candidate::load(state_machine, bytes) } -> std::same_as<outcome<void>>;
};

} // namespace kingcupcart::group
