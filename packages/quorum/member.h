#pragma once

#include "base/ids.h"
#include "base/strong_id.h"

#include <cstdint>

namespace kingcupcart::quorum {

using term_number = strong_id<struct term_number_tag, std::uint64_t>;
using log_index = strong_id<struct log_index_tag, std::uint64_t>;
/// Drawn once for each data folder: a keeper with an emptied disk is another member.
using disk_id = strong_id<struct disk_id_tag, std::uint64_t>;

/// A keeper with the disk that remembers its votes.
struct member {
    instance_id id;
    disk_id disk;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace kingcupcart::quorum
