#pragma once

#include "base/outcome.h"
#include "replicated/replicated_state.h"
#include "wire/keeper_codec.h"

#include <string>
#include <string_view>

namespace kingcupcart::keeper {

/// What the keepers agree on, for `group::group`.
struct keeper_codec {
    using machine = replicated::replicated_state;
    using logged = replicated::logged_command;

    static std::string encode(const logged& command) { return wire::encode_command(command); }
    static outcome<logged> decode(std::string_view bytes) { return wire::decode_command(bytes); }
    static std::string save(const machine& state) { return wire::encode_state(state.save()); }
    static outcome<void> load(machine& state, std::string_view bytes) {
        BOOST_LEAF_AUTO(content, wire::decode_state(bytes));
        state.load(content);
        return {};
    }
};

} // namespace kingcupcart::keeper
