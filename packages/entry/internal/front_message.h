#pragma once

#include "admin/report.h"
#include "base/ids.h"
#include "membership/target_load.h"
#include "membership/target_record.h"
#include "wire/messages.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

/// What the front is told by other tasks. One family of small structs.
namespace kingcupcart::entry {

/// Another instance passed a target's record on.
struct target_update_received {
    membership::target_record record;
};

/// Another instance still hears from these targets.
struct target_heartbeats_received {
    std::vector<membership::target_load> targets;
};

struct configuration_accepted {
    configuration_version version;
    std::string text;
};

/// Living entry instances of this failure domain, this one included.
struct domain_size_changed {
    int instances = 1;
};

/// A link to a keeper or to another instance of the domain was opened: tell it what is known here.
struct peer_joined {};

/// A request whose key has its home here came over from `origin`.
struct peer_call_arrived {
    instance_id origin;
    wire::forward_call_request call;
};

/// A request that was forwarded has its answer, or the reason for none.
struct peer_call_ended {
    wire::forward_call_response answer;
};

/// Whether the home of a made-up key could be found.
struct claim_ended {
    std::uint64_t claim = 0;
    bool is_decided = false;
    instance_id owner;
    incarnation_id incarnation;
};

struct stop_request {
    std::function<void()> drained;
};

using front_message =
    std::variant<target_update_received, target_heartbeats_received, configuration_accepted,
                 domain_size_changed, peer_joined, peer_call_arrived, peer_call_ended, claim_ended,
                 stop_request, admin::report_request>;

} // namespace kingcupcart::entry
