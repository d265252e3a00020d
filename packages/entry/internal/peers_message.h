#pragma once

#include "admin/report.h"
#include "base/ids.h"
#include "membership/target_load.h"
#include "membership/target_record.h"
#include "wire/messages.h"

#include <string>
#include <variant>
#include <vector>

/// What the peers task is told by other tasks. One family of small structs.
namespace kingcupcart::entry {

/// Pass the record on to the domain and to the keepers.
struct share_target {
    membership::target_record record;
};

/// Tell the domain that these targets are still heard from.
struct send_target_heartbeats {
    std::vector<membership::target_load> targets;
};

/// Tell the keepers, and instances that come later, what is in force here.
struct report_in_force {
    configuration_version version;
    std::string text;
};

/// Bring the call to its key's home.
struct forward_call {
    instance_id owner;
    wire::forward_call_request call;
};

/// Bring the answer back to where the call came from.
struct answer_call {
    instance_id origin;
    wire::forward_call_response answer;
};

/// Ask the keepers for the home of a made-up key.
struct ask_claim {
    std::uint64_t claim = 0;
    idempotency_key key;
};

using peers_message = std::variant<share_target, send_target_heartbeats, report_in_force,
                                   forward_call, answer_call, ask_claim, admin::report_request>;

} // namespace kingcupcart::entry
