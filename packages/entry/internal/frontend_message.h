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

/// Messages that other tasks send to the frontend.
namespace kingcupcart::entry {

/// Another instance or a keeper sent a target's record.
struct target_update_received {
    membership::target_record record;
};

/// Another instance relayed the heartbeats of these targets.
struct target_heartbeats_received {
    std::vector<membership::target_load> targets;
};

/// The keepers accepted a configuration; `text` is INI.
struct configuration_accepted {
    configuration_version version;
    std::string text;
};

/// The number of live entry instances in this failure domain changed; this one is included.
struct domain_size_changed {
    int instances = 1;
};

/// A link to a keeper or to another entry instance opened. The frontend broadcasts its targets.
struct peer_link_opened {};

/// `origin` forwarded a request whose idempotency key this instance owns.
struct forwarded_call_received {
    instance_id origin;
    wire::forward_call_request call;
};

/// A request that this instance forwarded completed, with a response or the reason for none.
struct forwarded_call_completed {
    wire::forward_call_response response;
};

/// The keepers' decision on which instance owns a key that the caller generated; `is_decided` is
/// false if there is no decision.
struct claim_completed {
    std::uint64_t claim = 0;
    bool is_decided = false;
    instance_id owner;
    incarnation_id incarnation;
};

/// The process will stop at `deadline`: each response closes its connection from now on.
struct stop_announced {
    time_point deadline{};
};

/// Stop accepting work, answer all calls by `deadline`, and call `on_drained` when all have ended.
struct stop_request {
    time_point deadline{};
    std::function<void()> on_drained;
};

using frontend_message =
    std::variant<target_update_received, target_heartbeats_received, configuration_accepted,
                 domain_size_changed, peer_link_opened, forwarded_call_received,
                 forwarded_call_completed, claim_completed, stop_announced, stop_request,
                 admin::report_request>;

} // namespace kingcupcart::entry
