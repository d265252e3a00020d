#include "group/replicated_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>

/// What a replicated log does while its disk refuses writes, and how it takes part again.
namespace kingcupcart::group {

namespace {

/// The journal of a suspended log is tried again after these delays, each twice the one before.
constexpr duration min_resume_delay = std::chrono::milliseconds(250);
constexpr duration max_resume_delay = std::chrono::seconds(2);
/// A disk that refuses a write within this time after it was usable again is tried again later each
/// time: each attempt reads the whole journal, and has unknown outcomes for callers.
constexpr duration relapse_time = std::chrono::seconds(10);
/// The delay after an error that is no refused write, such as a damaged journal: each attempt reads
/// the whole file.
constexpr duration damaged_journal_retry_interval = std::chrono::seconds(30);

} // namespace

void replicated_log::suspend(const error& reason) {
    if (this->suspended) {
        return;
    }
    spdlog::critical("replicated log suspended term={} leader={} reason=\"{}\"",
                     this->replica->term().value(), this->replica->is_leader(), reason.message);
    this->suspended = true;
    this->has_unannounced_suspension = true;
    ++this->suspensions;
    this->last_problem = reason.message;
    if (this->file != nullptr) {
        this->trusted_size = this->file->synced_size();
        this->refused_bytes = this->file->unsynced_bytes();
    }
    this->replica_timer.disarm();
    // Drops the messages and commands that awaited the sync. None was sent or applied yet.
    this->deferred = this->replica->resign(this->params.time->now());
    this->flush_wakeup.arm_now();
}

void replicated_log::announce_suspension() {
    if (!std::exchange(this->has_unannounced_suspension, false)) {
        return;
    }
    for (const quorum::action& action : std::exchange(this->deferred, {})) {
        if (const auto* outgoing = std::get_if<quorum::send_message>(&action)) {
            this->notify.send(outgoing->to, outgoing->content);
        } else if (const auto* leadership = std::get_if<quorum::leadership_changed>(&action)) {
            this->notify.leadership_changed(leadership->is_leader);
        }
    }
    this->notify.suspended();
    const time_point now = this->params.time->now();
    const bool is_relapse = this->resumed_at && now < *this->resumed_at + relapse_time;
    this->resume_delay =
        is_relapse ? std::min(2 * this->resume_delay, max_resume_delay) : min_resume_delay;
    this->resume_timer.arm(now + this->resume_delay);
}

void replicated_log::try_to_resume() {
    const auto resumed = value_or_error([this] { return this->resume(); });
    if (const auto* problem = std::get_if<error>(&resumed)) {
        if (problem->message != this->last_problem) {
            spdlog::error("replicated log stays suspended reason=\"{}\"", problem->message);
            this->last_problem = problem->message;
        }
        this->resume_delay = problem->code == error_code::storage_unavailable
                                 ? std::min(2 * this->resume_delay, max_resume_delay)
                                 : damaged_journal_retry_interval;
        this->resume_timer.arm(this->params.time->now() + this->resume_delay);
        return;
    }
    spdlog::info("replicated log resumed term={} entries={} bytes={}",
                 this->replica->term().value(), this->replica->log_size(), this->file->size());
    this->notify.resumed();
}

void replicated_log::discard_partial_state() {
    if (this->file != nullptr) {
        this->trusted_size = this->file->synced_size();
        this->file.reset();
    }
    this->stored = {};
    this->notify.clear_state();
}

outcome<void> replicated_log::resume() {
    // The old file holds the lock of the folder.
    this->file.reset();
    BOOST_LEAF_AUTO(storage, this->open_storage());
    auto opened = value_or_error([&] { return this->open_journal(std::move(storage)); });
    if (const auto* problem = std::get_if<error>(&opened)) {
        this->discard_partial_state();
        return fail(problem->code, problem->message);
    }
    this->suspended = false;
    this->resumed_at = this->params.time->now();
    this->trusted_size = journal::journal_file::unlimited_size;
    this->start_replica();
    return {};
}

} // namespace kingcupcart::group
