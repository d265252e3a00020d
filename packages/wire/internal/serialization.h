#pragma once

#include "base/header_field.h"
#include "batch/commands.h"
#include "batch/job_state_machine.h"
#include "membership/model_weights.h"
#include "quorum/member.h"
#include "replicated/commands.h"
#include "replicated/replicated_state.h"
#include "wire/messages.h"

/// The fields of each serializable type, in their order on the wire and on disk. Each function is
/// in the namespace of its type, where argument-dependent lookup finds it.
namespace kingcupcart {

template <typename Archive>
void serialize(Archive& archive, header_field& value) {
    archive(value.name, value.value);
}

} // namespace kingcupcart

namespace kingcupcart::membership {

template <typename Archive>
void serialize(Archive& archive, model_weights& value) {
    archive(value.model, value.version);
}

} // namespace kingcupcart::membership

namespace kingcupcart::quorum {

template <typename Archive>
void serialize(Archive& archive, member& value) {
    archive(value.id, value.disk);
}

} // namespace kingcupcart::quorum

namespace kingcupcart::batch {

template <typename Archive>
void serialize(Archive& archive, score_request& value) {
    archive(value.name, value.host, value.path, value.body);
}

template <typename Archive>
void serialize(Archive& archive, job_item& value) {
    archive(value.id, value.group, value.path, value.headers, value.body, value.prompt,
            value.max_output, value.output_hint);
    archive.trailing(value.scorer);
}

/// The account is a last field of the records that contain a job: some have fields after the job's.
template <typename Archive>
void serialize(Archive& archive, job& value) {
    archive(value.id, value.host, value.path, value.model, value.oldest_version,
            value.needs_single_version, value.groups_required, value.items, value.submitted);
}

template <typename Archive>
void serialize(Archive& archive, item_result& value) {
    archive(value.item, value.is_completed, value.text, value.versions);
    archive.trailing(value.score);
}

template <typename Archive>
void serialize(Archive& archive, submit_job& value) {
    archive(value.content, value.retention);
    archive.trailing(value.content.account);
}

template <typename Archive>
void serialize(Archive& archive, append_results& value) {
    archive(value.job, value.results);
}

template <typename Archive>
void serialize(Archive& archive, end_job& value) {
    archive(value.job);
}

template <typename Archive>
void serialize(Archive& /*archive*/, read_barrier& /*value*/) {}

template <typename Archive>
void serialize(Archive& archive, job_snapshot_piece& value) {
    archive(value.content, value.retained_until, value.is_ended, value.is_continued, value.results);
    archive.trailing(value.content.account);
}

} // namespace kingcupcart::batch

namespace kingcupcart::replicated {

template <typename Archive>
void serialize(Archive& archive, accept_routes& value) {
    archive(value.version, value.document);
}

template <typename Archive>
void serialize(Archive& archive, publish_weights& value) {
    archive(value.model, value.version);
}

template <typename Archive>
void serialize(Archive& archive, store_member& value) {
    archive(value.store, value.disk);
}

template <typename Archive>
void serialize(Archive& archive, bootstrap_stores& value) {
    archive(value.initial_members);
}

template <typename Archive>
void serialize(Archive& archive, retire_store& value) {
    archive(value.store);
}

template <typename Archive>
void serialize(Archive& /*archive*/, read_barrier& /*value*/) {}

template <typename Archive>
void serialize(Archive& archive, account_usage& value) {
    archive(value.account, value.count);
}

template <typename Archive>
void serialize(Archive& archive, commit_usage& value) {
    archive(value.window, value.counts, value.reported_through);
}

template <typename Archive>
void serialize(Archive& archive, replicated_state::usage_window& value) {
    archive(value.window, value.counts);
}

template <typename Archive>
void serialize(Archive& archive, replicated_state::usage_content& value) {
    archive(value.last_window, value.reported_through, value.windows);
}

template <typename Archive>
void serialize(Archive& archive, command_origin& value) {
    archive(value.keeper, value.incarnation, value.number);
}

} // namespace kingcupcart::replicated

namespace kingcupcart::permits {

template <typename Archive>
void serialize(Archive& archive, permit_demand& value) {
    archive(value.target, value.incarnation, value.number, value.waiting, value.background);
}

template <typename Archive>
void serialize(Archive& archive, permit_grant& value) {
    archive(value.target, value.incarnation, value.demand, value.permits, value.expected_wait,
            value.senders);
}

} // namespace kingcupcart::permits

namespace kingcupcart::quarantine {

template <typename Archive>
void serialize(Archive& archive, crash_record& value) {
    archive(value.target, value.incarnation, value.status, value.is_trial, value.age);
}

template <typename Archive>
void serialize(Archive& archive, crash_report& value) {
    archive(value.fingerprint, value.crash);
}

template <typename Archive>
void serialize(Archive& archive, completion_report& value) {
    archive(value.fingerprint, value.age);
}

template <typename Archive>
void serialize(Archive& archive, trial_demand& value) {
    archive(value.fingerprint, value.number, value.is_withdrawn);
}

template <typename Archive>
void serialize(Archive& archive, trial_decision& value) {
    archive(value.fingerprint, value.demand, value.verdict, value.retry_after);
}

template <typename Archive>
void serialize(Archive& archive, trial_end& value) {
    archive(value.fingerprint, value.number, value.outcome);
}

template <typename Archive>
void serialize(Archive& archive, copy_report& value) {
    archive(value.fingerprint, value.running);
}

template <typename Archive>
void serialize(Archive& archive, suspect_update& value) {
    archive(value.fingerprint, value.state, value.crashes, value.latest, value.late_trials,
            value.last_trial_age, value.next_trial_in, value.answered_age);
}

} // namespace kingcupcart::quarantine

namespace kingcupcart::streams {

template <typename Archive>
void serialize(Archive& archive, stream_record& value) {
    archive(value.stream, value.backend, value.software, value.lifetime, value.age);
}

} // namespace kingcupcart::streams

namespace kingcupcart::wire {

template <typename Archive>
void serialize(Archive& archive, stream_record_updates& value) {
    archive(value.records);
}

template <typename Archive>
void serialize(Archive& archive, stream_lookup_request& value) {
    archive(value.lookup, value.stream);
}

template <typename Archive>
void serialize(Archive& archive, stream_lookup_response& value) {
    archive(value.lookup, value.record);
}

template <typename Archive>
void serialize(Archive& archive, limit_report& value) {
    archive(value.target, value.incarnation, value.millionths_per_second, value.age);
}

template <typename Archive>
void serialize(Archive& archive, permit_demands& value) {
    archive(value.demands);
}

template <typename Archive>
void serialize(Archive& archive, permit_grants& value) {
    archive(value.grants);
}

template <typename Archive>
void serialize(Archive& /*archive*/, keepalive& /*value*/) {}

template <typename Archive>
void serialize(Archive& archive, target_leaving& value) {
    archive(value.target, value.incarnation);
}

template <typename Archive>
void serialize(Archive& archive, instance_address& value) {
    archive(value.id, value.address);
}

template <typename Archive>
void serialize(Archive& archive, store_address& value) {
    archive(value.id, value.address, value.is_leaving);
}

template <typename Archive>
void serialize(Archive& archive, fleet_update& value) {
    archive(value.keepers, value.stores, value.keeper_majority);
}

template <typename Archive>
void serialize(Archive& archive, routes_update& value) {
    archive(value.version, value.document);
}

template <typename Archive>
void serialize(Archive& archive, weights_update& value) {
    archive(value.weights);
}

template <typename Archive>
void serialize(Archive& archive, store_registration& value) {
    archive(value.disk, value.may_bootstrap);
}

template <typename Archive>
void serialize(Archive& archive, initial_members_update& value) {
    archive(value.initial_members);
}

template <typename Archive>
void serialize(Archive& archive, store_report& value) {
    archive(value.is_leader, value.term, value.voters, value.standbys, value.required_weights);
}

template <typename Archive>
void serialize(Archive& archive, leader_update& value) {
    archive(value.leader);
    archive.trailing(value.term);
}

template <typename Archive>
void serialize(Archive& archive, submit_job_request& value) {
    archive(value.call, value.job);
    archive.trailing(value.job.account);
}

template <typename Archive>
void serialize(Archive& archive, read_results_request& value) {
    archive(value.call, value.job, value.after, value.max_wait);
    archive.trailing(value.account);
}

template <typename Archive>
void serialize(Archive& archive, item_body_request& value) {
    archive(value.call, value.job, value.item);
    archive.trailing(value.account);
}

template <typename Archive>
void serialize(Archive& archive, end_job_request& value) {
    archive(value.call, value.job);
    archive.trailing(value.account);
}

template <typename Archive>
void serialize(Archive& archive, run_item_request& value) {
    archive(value.run, value.job, value.host, value.engine, value.resume_after,
            value.oldest_version, value.needs_versions, value.item);
}

template <typename Archive>
void serialize(Archive& archive, cancel_item_run& value) {
    archive(value.run);
}

template <typename Archive>
void serialize(Archive& archive, item_run_update& value) {
    archive(value.run, value.status, value.last_event, value.text, value.versions);
}

template <typename Archive>
void serialize(Archive& archive, item_run_updates& value) {
    archive(value.updates);
}

template <typename Archive>
void serialize(Archive& archive, batch_response& value) {
    archive(value.call, value.status, value.total, value.results, value.body);
}

template <typename Archive>
void serialize(Archive& archive, relay_lookup_request& value) {
    archive(value.lookup, value.backend);
}

template <typename Archive>
void serialize(Archive& archive, relay_candidate& value) {
    archive(value.id, value.address, value.place.domain, value.place.region);
}

template <typename Archive>
void serialize(Archive& archive, relay_lookup_response& value) {
    archive(value.lookup, value.candidates);
}

template <typename Archive>
void serialize(Archive& archive, reach_report& value) {
    archive(value.cut_off);
}

template <typename Archive>
void serialize(Archive& archive, relayed_call_request& value) {
    archive(value.call, value.name, value.host, value.method, value.path, value.headers, value.body,
            value.max_wait, value.resume_after, value.resumes, value.backend, value.software,
            value.max_attempts);
    archive.trailing(value.account);
}

template <typename Archive>
void serialize(Archive& archive, relayed_response_head& value) {
    archive(value.call);
    archive.http_status(value.status);
    archive(value.content_type, value.headers, value.is_stream);
}

template <typename Archive>
void serialize(Archive& archive, relayed_response_data& value) {
    archive(value.call, value.data);
}

template <typename Archive>
void serialize(Archive& archive, relayed_response_end& value) {
    archive(value.call);
}

template <typename Archive>
void serialize(Archive& archive, relayed_call_failure& value) {
    archive(value.call, value.may_have_run, value.reason, value.retry_after, value.concerns_call);
}

template <typename Archive>
void serialize(Archive& archive, relayed_call_cancel& value) {
    archive(value.call);
}

template <typename Archive>
void serialize(Archive& /*archive*/, relay_stopping& /*value*/) {}

template <typename Archive>
void serialize(Archive& archive, window_usage& value) {
    archive(value.window, value.counts);
}

template <typename Archive>
void serialize(Archive& archive, usage_update& value) {
    archive(value.as_of, value.windows);
}

template <typename Archive>
void serialize(Archive& archive, model_demand& value) {
    archive(value.service, value.model, value.tokens_per_second, value.largest_step_items,
            value.waiting_items, value.expected_lateness, value.steps_in_flight);
}

template <typename Archive>
void serialize(Archive& archive, model_demand_report& value) {
    archive(value.term, value.models);
}

template <typename Archive>
void serialize(Archive& archive, relayed_data_taken& value) {
    archive(value.call, value.bytes);
}

} // namespace kingcupcart::wire
