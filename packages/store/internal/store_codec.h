#pragma once

#include "base/outcome.h"
#include "batch/job_book.h"
#include "wire/keeper_codec.h"

#include <string>
#include <string_view>

namespace kingcupcart::store {

/// What the stores agree on, for `group::group`.
struct store_codec {
    using machine = batch::job_book;
    using logged = wire::batch_command;

    static std::string encode(const logged& command) { return wire::encode_command(command); }
    static outcome<logged> decode(std::string_view bytes) {
        return wire::decode_batch_command(bytes);
    }
    static std::string save(const machine& book) { return wire::encode_state(book.save()); }
    static outcome<void> load(machine& book, std::string_view bytes) {
        BOOST_LEAF_AUTO(content, wire::decode_batch_state(bytes));
        book.load(content);
        return {};
    }
};

} // namespace kingcupcart::store
