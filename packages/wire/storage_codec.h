#pragma once

#include "base/outcome.h"
#include "batch/commands.h"
#include "batch/job_state_machine.h"
#include "quorum/actions.h"
#include "quorum/member.h"
#include "replicated/commands.h"
#include "replicated/replicated_state.h"

#include <string>
#include <string_view>
#include <variant>

namespace kingcupcart::wire {

/// The first record of each journal: the identity of the disk that holds it.
struct disk_identity {
    quorum::disk_id disk;
};

/// The start of a snapshot. Its pieces follow, one in each record.
struct snapshot_header {
    quorum::log_index index;
    quorum::term_number index_term;
    quorum::membership voters;
};

struct snapshot_piece {
    std::string data;
};

/// One record of the journal of a keeper or store. The order of the alternatives is that of their
/// numbers on disk.
using journal_record = std::variant<disk_identity, quorum::persist_vote, quorum::persist_entries,
                                    snapshot_header, snapshot_piece>;

/// A command in the replicated log of the stores.
struct batch_command {
    replicated::command_origin origin;
    batch::command content;
};

/// The CBOR encodings of the data that keepers and stores persist: journal records, commands of the
/// replicated log and state snapshots. Decoding fails with `invalid_input`.
[[nodiscard]] std::string encode_record(const journal_record& record);
[[nodiscard]] outcome<journal_record> decode_record(std::string_view bytes);
[[nodiscard]] std::string encode_command(const replicated::logged_command& command);
[[nodiscard]] outcome<replicated::logged_command> decode_command(std::string_view bytes);
[[nodiscard]] std::string encode_command(const batch_command& command);
[[nodiscard]] outcome<batch_command> decode_batch_command(std::string_view bytes);
[[nodiscard]] std::string encode_state(const batch::job_snapshot_piece& piece);
[[nodiscard]] outcome<batch::job_snapshot_piece> decode_job_snapshot_piece(std::string_view bytes);
[[nodiscard]] std::string encode_state(const replicated::replicated_state::content& content);
[[nodiscard]] outcome<replicated::replicated_state::content> decode_state(std::string_view bytes);

} // namespace kingcupcart::wire
