#pragma once

#include "base/ids.h"
#include "base/strong_id.h"

#include <cstdint>

namespace kingcupcart::quorum {

using term_number = strong_id<struct term_number_tag, std::uint64_t>;
using log_index = strong_id<struct log_index_tag, std::uint64_t>;
/// Random number generated once for each data folder, so that an instance whose disk was erased
/// counts as a different member.
using disk_id = strong_id<struct disk_id_tag, std::uint64_t>;

/// An instance in a group, together with the disk that stores its votes.
struct member {
    instance_id id;
    disk_id disk;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace kingcupcart::quorum
