#pragma once

#include "admin/report.h"
#include "base/ids.h"
#include "membership/target_load.h"
#include "membership/target_record.h"
#include "wire/messages.h"

#include <string>
#include <variant>
#include <vector>

/// Messages that other tasks send to the peers task.
namespace kingcupcart::entry {

/// Send the record to the other instances of the failure domain and to the keepers.
struct broadcast_target {
    membership::target_record record;
};

/// Relay the heartbeats of these targets to the other instances of the failure domain.
struct send_target_heartbeats {
    std::vector<membership::target_load> targets;
};

/// Report the configuration in force to the keepers. Instances that connect later with an older one
/// receive it too.
struct report_in_force {
    configuration_version version;
    std::string text;
};

/// Forward the call to the instance that owns its key.
struct forward_call {
    instance_id owner;
    wire::forward_call_request call;
};

/// Return the response to the instance that forwarded the call.
struct send_call_response {
    instance_id origin;
    wire::forward_call_response response;
};

/// Ask the keepers which instance owns a key that the caller generated.
struct request_claim {
    std::uint64_t claim = 0;
    idempotency_key key;
};

using peers_message =
    std::variant<broadcast_target, send_target_heartbeats, report_in_force, forward_call,
                 send_call_response, request_claim, admin::report_request>;

} // namespace kingcupcart::entry
