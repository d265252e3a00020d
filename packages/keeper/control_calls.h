#pragma once

#include "base/ids.h"
#include "membership/target_record.h"
#include "task/sender.h"

#include <string>
#include <variant>

/// Calls of operators, trainers and targets to the keepers of a fleet. One family of small structs.
namespace kingcupcart::keeper {

enum class control_status {
    done,
    /// No majority of keepers responded in time; the call may or may not have taken effect.
    unavailable,
    /// The object that the call names does not exist.
    missing,
    /// The current state does not allow the call.
    conflict
};

struct control_response {
    control_status status = control_status::done;
    /// The routes document, in the response to `get_routes`.
    std::string document;
    /// Human-readable reason of a failure; may be empty.
    std::string reason;
};

using control_reply = task::sender<control_response>;

/// Replaces the routes. The sender has parsed and validated `document`.
struct put_routes {
    configuration_version version;
    std::string document;
    control_reply reply;
};

struct get_routes {
    control_reply reply;
};

struct put_weights {
    model_name model;
    weight_version version;
    control_reply reply;
};

struct target_heartbeat {
    membership::target_record record;
    control_reply reply;
};

/// The target accepts no new requests and is about to stop.
struct deregister_target {
    target_id target;
    /// 0 where the target did not send it; the call then applies to the known incarnation.
    incarnation_id incarnation;
    control_reply reply;
};

struct begin_retirement {
    instance_id store;
    control_reply reply;
};

/// The response is `done` once the store holds no jobs, and `unavailable` until then.
struct get_retirement {
    instance_id store;
    control_reply reply;
};

/// A call that could not be read, and was refused; reported to be counted.
struct malformed_call {};

using control_call =
    std::variant<put_routes, get_routes, put_weights, target_heartbeat, deregister_target,
                 begin_retirement, get_retirement, malformed_call>;

} // namespace kingcupcart::keeper
