#pragma once

#include "base/ids.h"
#include "membership/target_record.h"
#include "task/sender.h"

#include <string>
#include <variant>

/// What operators, trainers and targets ask of the keepers of a fleet. One family of small structs.
namespace kingcupcart::keeper {

enum class control_status {
    done,
    /// No majority could say in time; the call may or may not have taken effect.
    unavailable,
    /// There is no such thing.
    missing,
    /// It can't be done as things are.
    conflict
};

struct control_answer {
    control_status status = control_status::done;
    /// The routes that were asked for.
    std::string document;
    /// For a person.
    std::string reason;
};

using control_reply = task::sender<control_answer>;

/// A table that was read and found valid; `document` is what it was read from.
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

/// The target takes nothing new and will be gone.
struct deregister_target {
    target_id target;
    /// 0 where the target did not say: the one that is known is meant.
    incarnation_id incarnation;
    control_reply reply;
};

struct begin_retirement {
    instance_id store;
    control_reply reply;
};

/// Answered `done` where the store holds nothing any more, `unavailable` while it does.
struct get_retirement {
    instance_id store;
    control_reply reply;
};

using control_call = std::variant<put_routes, get_routes, put_weights, target_heartbeat,
                                  deregister_target, begin_retirement, get_retirement>;

} // namespace kingcupcart::keeper
