#pragma once

#include "base/strong_id.h"

#include <cstdint>
#include <string>

/// Identifiers shared by all packages.
namespace kingcupcart {

using instance_id = strong_id<struct instance_tag, std::string>;
/// Differs between the starts of an instance; a later start has a higher one.
using incarnation_id = strong_id<struct incarnation_tag, std::uint64_t>;
using failure_domain_id = strong_id<struct failure_domain_tag, std::string>;
using region_id = strong_id<struct region_tag, std::string>;
/// A client account, to which callers' keys belong.
using account_name = strong_id<struct account_tag, std::string>;
using caller_id = strong_id<struct caller_tag, std::string>;
using target_id = strong_id<struct target_tag, std::string>;
/// The name of the model or plain service that a target serves.
using backend_name = strong_id<struct backend_tag, std::string>;
using work_class_name = strong_id<struct work_class_tag, std::string>;
/// Unique within one incarnation of one instance.
using request_id = strong_id<struct request_tag, std::uint64_t>;
/// One transmission of a request to a target.
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;
using sample_id = strong_id<struct sample_tag, std::uint64_t>;
using group_id = strong_id<struct group_tag, std::uint64_t>;
using trainer_id = strong_id<struct trainer_tag, std::string>;
using weight_version = strong_id<struct weight_version_tag, std::uint64_t>;
/// The version of a target's software; not that of its weights. Opaque: versions are equal or not,
/// and have no order.
using software_version = strong_id<struct software_version_tag, std::string>;
using configuration_version = strong_id<struct configuration_version_tag, std::uint64_t>;
using fencing_token = strong_id<struct fencing_token_tag, std::uint64_t>;
using idempotency_key = strong_id<struct idempotency_key_tag, std::string>;
using model_name = strong_id<struct model_tag, std::string>;
using route_name = strong_id<struct route_tag, std::string>;
/// The identifier of a batch job, chosen by its submitter.
using job_id = strong_id<struct job_tag, std::string>;
/// The identifier of a request of a batch job, chosen by the submitter; unique within the job.
using item_id = strong_id<struct item_tag, std::string>;
/// The identifier of a group of items that a trainer needs together.
using item_group_id = strong_id<struct item_group_tag, std::string>;
/// The hash of a block of a prompt and of all blocks before it.
using prefix_hash = strong_id<struct prefix_hash_tag, std::uint64_t>;

} // namespace kingcupcart
