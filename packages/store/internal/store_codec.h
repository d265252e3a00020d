#pragma once

#include "base/outcome.h"
#include "batch/job_state_machine.h"
#include "group/state_source.h"
#include "wire/storage_codec.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace kingcupcart::store {

/// Encoding of the stores' replicated commands and state, for `group::group`.
struct store_codec {
    using state_machine = batch::job_state_machine;
    using logged_command = wire::batch_command;

    static std::string encode(const logged_command& command) {
        return wire::encode_command(command);
    }
    static outcome<logged_command> decode(std::string_view bytes) {
        return wire::decode_batch_command(bytes);
    }
    /// Text of results in one piece of a snapshot, in bytes: a link sends it in milliseconds.
    static constexpr std::size_t piece_bytes = 256UL * 1024;

    static group::state_source save(const state_machine& state) {
        return [job = state.jobs().begin(), end = state.jobs().end(),
                next = std::size_t{0}](std::string& piece) mutable {
            if (job == end) {
                return false;
            }
            const batch::job_snapshot_piece saved =
                state_machine::save(job->second, next, piece_bytes);
            next += saved.results.size();
            if (next == job->second.results.size()) {
                ++job;
                next = 0;
            }
            piece = wire::encode_state(saved);
            return true;
        };
    }
    static outcome<void> load(state_machine& state, std::string_view bytes) {
        BOOST_LEAF_AUTO(saved, wire::decode_job_snapshot_piece(bytes));
        state.load(saved);
        return {};
    }
};

} // namespace kingcupcart::store
