#pragma once

#include "base/outcome.h"
#include "group/state_source.h"
#include "replicated/replicated_state.h"
#include "wire/storage_codec.h"

#include <string>
#include <string_view>
#include <utility>

namespace kingcupcart::keeper {

/// The state machine that the keepers replicate, and its encoding, for `group::group`.
struct keeper_codec {
    using state_machine = replicated::replicated_state;
    using logged_command = replicated::logged_command;

    static std::string encode(const logged_command& command) {
        return wire::encode_command(command);
    }
    static outcome<logged_command> decode(std::string_view bytes) {
        return wire::decode_command(bytes);
    }
    /// Saves the state as one piece, since the state of the keepers is small.
    static group::state_source save(const state_machine& state) {
        return [&state, is_saved = false](std::string& piece) mutable {
            if (std::exchange(is_saved, true)) {
                return false;
            }
            piece = wire::encode_state(state.save());
            return true;
        };
    }
    static outcome<void> load(state_machine& state, std::string_view bytes) {
        BOOST_LEAF_AUTO(content, wire::decode_state(bytes));
        state.load(content);
        return {};
    }
};

} // namespace kingcupcart::keeper
