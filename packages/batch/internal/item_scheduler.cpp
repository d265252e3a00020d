#include "batch/item_scheduler.h"

#include "batch/internal/group_ranks.h"
#include "batch/internal/item_scheduler_state.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::batch {

namespace {

/// Assumed output of an item without an estimate before any item has completed: a page of text.
constexpr tokens default_output{1000};
/// Number of groups of earlier jobs that are remembered to recognize recurring ones. A job contains
/// some hundreds.
constexpr std::size_t max_earlier_groups = 20000;
/// Number of items over which the moving average of output lengths extends.
constexpr std::int64_t output_averaging_items = 32;
/// Items of one job without a suitable engine after which a pass leaves the others of the job
/// waiting. Bounds the time of a pass over thousands of waiting items.
constexpr int max_misses = 32;
/// The waiting items are ordered anew if the event interval has changed by this factor.
constexpr double max_interval_change = 1.25;
/// How long slots count as short after a needed group was late: about half a training step,
/// so that shares do not change with each group.
constexpr duration shortage_memory = std::chrono::seconds(2);

} // namespace

item_scheduler::item_scheduler(scheduler_limits limits, permits::permit_account* permits)
    : impl(std::make_unique<state>(limits, permits)) {}

item_scheduler::~item_scheduler() = default;

scheduler_actions item_scheduler::handle(const scheduler_message& incoming, time_point now) {
    this->impl->now = now;
    std::visit([this](const auto& alternative) { this->impl->on(alternative); }, incoming);
    const bool is_run_progress = std::holds_alternative<run_progressed>(incoming) ||
                                 std::holds_alternative<run_sent>(incoming);
    if (std::holds_alternative<timer_expired>(incoming)) {
        this->impl->update_due_jobs();
    }
    if (!is_run_progress || !this->impl->output.empty()) {
        // Progress of a run frees no engine unless it caused an action.
        this->impl->start_waiting_items();
        this->impl->update_permit_demands();
    }
    return std::exchange(this->impl->output, {});
}

std::optional<time_point> item_scheduler::next_wakeup() const {
    if (this->impl->items.empty()) {
        return std::nullopt;
    }
    return this->impl->last_check_at + this->impl->limits.check_interval;
}

std::size_t item_scheduler::waiting_count() const {
    return this->impl->waiting.size();
}

std::size_t item_scheduler::running_count() const {
    return this->impl->runs.size();
}

std::size_t item_scheduler::waiting_count(const model_name& model) const {
    std::size_t count = 0;
    for (const auto& [id, job] : this->impl->jobs) {
        count += job.spec.model == model ? this->impl->waiting.size_of(id) : 0;
    }
    return count;
}

void item_scheduler::state::on(const job_opened& opened) {
    job_state& job = this->jobs[opened.job];
    job.spec = opened;
    job.share = &this->shares.share_of(opened);
    job.is_closed = false;
    job.opened_at = this->now;
    for (const pending_item& spec : opened.items) {
        const auto known = this->items.find(spec.id);
        if (known != this->items.end()) {
            this->waiting.remove(known->second);
            this->jobs.at(known->second.job).ranks.remove(known->second, false);
        }
    }
    job.ranks.open(opened, this->earlier_groups);
    std::vector<scheduled_item*> to_start;
    for (const pending_item& spec : opened.items) {
        auto [position, is_new] = this->items.try_emplace(spec.id);
        scheduled_item& item = position->second;
        const bool may_resume = !is_new && item.satisfies(opened);
        item.job = opened.job;
        item.spec = spec;
        if (spec.output.count() == 0) {
            item.spec.output = this->mean_output_of(opened.model);
        }
        job.ranks.add(item);
        item.failures = 0;
        item.moves = 0;
        if (item.is_running() && may_resume) {
            continue;
        }
        if (item.is_running()) {
            this->cancel(item);
        }
        if (!may_resume) {
            item.discard_events();
            item.next_cause = run_cause::first;
        }
        to_start.push_back(&item);
    }
    this->update_ranks(job);
    for (auto& [id, group] : job.ranks.groups()) {
        for (scheduled_item* item : group.open_items) {
            item->rank = group.rank;
        }
    }
    for (scheduled_item* item : to_start) {
        this->enqueue(*item);
    }
    this->record_groups(opened);
    this->erase_finished_jobs();
}

void item_scheduler::state::update_ranks(job_state& job) {
    if (this->expected_interval == duration::zero()) {
        this->expected_interval = this->engines.median_event_interval();
    }
    for (item_group* group :
         job.ranks.update(this->now, this->expected_interval, this->available_capacity())) {
        for (scheduled_item* item : group->open_items) {
            item->rank = group->rank;
            if (item->place) {
                this->waiting.update(*item, this->key_of(*item));
            }
        }
    }
    if (job.ranks.misses_due_time()) {
        this->short_until = this->now + shortage_memory;
    }
}

void item_scheduler::state::update_due_jobs() {
    const duration median = this->engines.median_event_interval();
    const auto known = static_cast<double>(this->expected_interval.count());
    const auto measured = static_cast<double>(median.count());
    const bool has_changed =
        measured > known * max_interval_change || measured * max_interval_change < known;
    if (has_changed && median > duration::zero()) {
        this->expected_interval = median;
    }
    for (auto& [id, job] : this->jobs) {
        if (!job.spec.due_at || job.is_closed) {
            continue;
        }
        this->update_ranks(job);
        if (has_changed) {
            for (scheduled_item* item : this->waiting.items_of(id)) {
                this->waiting.update(*item, this->key_of(*item));
            }
        }
    }
}

void item_scheduler::state::record_groups(const job_opened& opened) {
    for (const pending_item& item : opened.items) {
        if (this->earlier_groups.insert(item.group).second) {
            this->earlier_groups_by_age.push_back(item.group);
        }
    }
    while (this->earlier_groups_by_age.size() > max_earlier_groups) {
        this->earlier_groups.erase(this->earlier_groups_by_age.front());
        this->earlier_groups_by_age.pop_front();
    }
}

void item_scheduler::state::on(const job_closed& closed) {
    const auto job = this->jobs.find(closed.job);
    if (job == this->jobs.end()) {
        return;
    }
    job->second.is_closed = true;
    for (const scheduled_item* item : this->waiting.items_of(closed.job)) {
        this->remove(item->spec.id, false);
    }
    this->erase_finished_jobs();
}

void item_scheduler::state::on(const results_recorded& recorded) {
    for (const item_id& id : recorded.items) {
        const auto found = this->items.find(id);
        // An item that recurs belongs to the latest job, which has no result for it yet.
        if (found == this->items.end() || found->second.job != recorded.job) {
            continue;
        }
        if (found->second.is_running()) {
            this->cancel(found->second);
        }
        this->remove(id, true);
    }
    this->erase_finished_jobs();
}

void item_scheduler::state::on(const job_services_changed& updated) {
    const auto job = this->jobs.find(updated.job);
    if (job != this->jobs.end()) {
        job->second.spec.services = updated.services;
    }
}

void item_scheduler::state::on(const engine_updated& updated) {
    const engine_state* known = this->engines.find(updated.state.id);
    const bool is_same_software =
        known != nullptr && origin_of(known->descriptor) == origin_of(updated.state);
    engine_state& state = this->engines.update(updated.state);
    if (!updated.is_restarted && is_same_software) {
        return;
    }
    this->discard_ambiguous_texts(state);
    this->engines.reset_event_interval(state);
    state.next_backoff = duration::zero();
    state.backoff_until = time_point{};
    const std::set<run_id> lost_runs = state.runs;
    for (const run_id run : lost_runs) {
        scheduled_item& item = *this->find_running_item(run);
        this->cancel(item);
        this->reschedule(item, run_cause::again);
    }
}

void item_scheduler::state::on(const engine_removed& removed) {
    engine_state* state = this->engines.find(removed.engine);
    if (state == nullptr) {
        return;
    }
    if (!state->runs.empty()) {
        // The engine may finish its current runs.
        state->descriptor.is_leaving = true;
        return;
    }
    this->engines.remove(removed.engine);
}

void item_scheduler::state::on(const run_sent& sent) {
    scheduled_item* item = this->find_running_item(sent.run);
    if (item != nullptr) {
        item->run_started = this->now;
        item->last_event_at = this->now;
    }
}

void item_scheduler::state::on(const run_progressed& progressed) {
    scheduled_item* item = this->find_running_item(progressed.run);
    if (item == nullptr) {
        return;
    }
    engine_state* target_engine = this->engines.find(item->engine);
    if (target_engine != nullptr && item->has_event_in_run &&
        progressed.last_event > item->received_events) {
        const auto events =
            static_cast<duration::rep>(progressed.last_event - item->received_events);
        this->engines.record_event_interval(*target_engine,
                                            (this->now - item->last_event_at) / events, this->now);
    }
    if (target_engine != nullptr) {
        target_engine->next_backoff = duration::zero();
    }
    item->has_event_in_run = true;
    item->record_origin();
    item->last_event_at = this->now;
    item->waiting_since.reset();
    item->received_events = progressed.last_event;
    item->oldest = progressed.oldest;
    item->newest = progressed.newest;
    const job_state& job = this->jobs.at(item->job);
    if (!item->satisfies(job.spec)) {
        this->cancel(*item);
        this->reschedule(*item, run_cause::again);
    }
}

void item_scheduler::state::on(const run_completed& completed) {
    scheduled_item* item = this->find_running_item(completed.run);
    if (item == nullptr) {
        return;
    }
    this->release_slot(*item);
    this->update_mean_output(*item);
    this->output.push_back(item_completed{item->job, item->spec.id, item->rank});
    job_state& job = this->jobs.at(item->job);
    this->erase(*item, true);
    if (job.ranks.is_outdated() && job.spec.due_at) {
        this->update_ranks(job);
    }
    this->erase_finished_jobs();
}

void item_scheduler::state::on(const run_failed& failed) {
    scheduled_item* item = this->find_running_item(failed.run);
    if (item == nullptr) {
        return;
    }
    engine_state* target_engine = this->engines.find(item->engine);
    this->release_slot(*item);
    switch (failed.failure) {
    case run_failure::declined:
        if (target_engine != nullptr) {
            target_engine->backoff_until = this->now + this->limits.declined_backoff;
        }
        break;
    case run_failure::broken:
        // Not counted: an item has to complete however many engines end while they run it.
        if (target_engine != nullptr && !item->has_event_in_run) {
            this->engines.back_off(*target_engine, this->now);
        }
        break;
    case run_failure::failed:
        if (++item->failures >= this->jobs.at(item->job).spec.max_failures) {
            this->give_up(*item, give_up_reason::failures);
            return;
        }
        break;
    case run_failure::impossible:
        this->give_up(*item, give_up_reason::impossible);
        return;
    case run_failure::stale:
        item->discard_events();
        if (target_engine != nullptr) {
            target_engine->backoff_until = this->now + this->limits.declined_backoff;
        }
        break;
    }
    this->reschedule(*item, run_cause::again);
}

void item_scheduler::state::start_waiting_items() {
    if (this->waiting.empty() || !this->engines.has_free_slot(this->now)) {
        return;
    }
    room_cache rooms(this->engines, this->now);
    std::map<job_id, int> misses;
    waiting_order::pass pass(this->waiting, this->shares);
    while (scheduled_item* item = pass.next()) {
        const job_opened& job = this->jobs.at(item->job).spec;
        if (rooms.largest_room(job).count() < 0) {
            pass.skip_job();
            continue;
        }
        engine_state* target_engine = this->find_engine(*item, rooms);
        if (target_engine != nullptr) {
            this->waiting.remove(*item);
            this->start(*item, *target_engine);
            rooms.clear();
        } else if (!this->is_bound_to_version(*item) && ++misses[item->job] >= max_misses) {
            pass.skip_job();
        }
    }
}

void item_scheduler::state::update_permit_demands() {
    for (const permits::target_limit& limit : this->permits->table().limits()) {
        const engine_state* limited = this->engines.find(limit.target);
        if (limited == nullptr) {
            continue;
        }
        const bool takes_runs =
            !limited->descriptor.is_leaving && limited->backoff_until <= this->now;
        const auto free_slots =
            static_cast<std::size_t>(std::max(0, limited->descriptor.slots - limited->running()));
        const std::size_t wanted = takes_runs ? std::min(free_slots, this->waiting.size()) : 0;
        this->permits->set_background(limit.target, static_cast<std::uint32_t>(wanted));
    }
}

engine_state* item_scheduler::state::choose_engine(const scheduled_item& item,
                                                   engine_choice choice) {
    const job_state& job = this->jobs.at(item.job);
    engine_state* target_engine = this->engines.choose_engine(item, job.spec, choice, this->now);
    const bool may_wait =
        item.rank == item_rank::spare && this->now - job.opened_at < this->limits.max_spare_wait;
    if (target_engine != nullptr && may_wait &&
        !this->engines.has_newest_weights(*target_engine, job.spec.model)) {
        // The item will most likely complete for the next job, which does not accept these weights.
        return nullptr;
    }
    return target_engine;
}

waiting_key item_scheduler::state::key_of(const scheduled_item& item) const {
    const job_opened& job = this->jobs.at(item.job).spec;
    waiting_key key;
    if (item.group->rank == item_rank::spare) {
        key.standing = item_standing::spare;
    }
    if (job.due_at) {
        const auto events =
            static_cast<duration::rep>(item.estimate_remaining_events(job.tokens_per_event));
        key.latest_start = *job.due_at - this->expected_interval * events;
    }
    key.rank = item.group->rank;
    key.negated_output = -item.spec.output.count();
    return key;
}

void item_scheduler::state::enqueue(scheduled_item& item) {
    item.waiting_since = item.waiting_since.value_or(this->now);
    this->waiting.add(item, this->key_of(item), *this->jobs.at(item.job).share);
}

void item_scheduler::state::start(scheduled_item& item, engine_state& target_engine) {
    const run_id run(++this->last_run);
    item.run = run;
    item.engine = target_engine.descriptor.id;
    item.reserved = this->engines.expected_memory(item);
    item.run_started = this->now;
    item.last_event_at = this->now;
    item.has_event_in_run = false;
    item.run_origin = origin_of(target_engine.descriptor);
    if (!this->jobs.at(item.job).spec.is_resumable) {
        item.discard_events();
    }
    this->permits->take(item.engine, this->now);
    this->runs.emplace(run, item.spec.id);
    item.share = this->jobs.at(item.job).share;
    this->shares.run_started(*item.share);
    const int running = target_engine.running();
    target_engine.runs.insert(run);
    target_engine.reserved += item.reserved;
    this->output.push_back(start_run{run, item.job, item.spec.id, target_engine.descriptor.id,
                                     item.received_events, item.next_cause, running,
                                     this->engines.slowness(target_engine, this->now),
                                     item.spec.output.count()});
}

void item_scheduler::state::release_slot(scheduled_item& item) {
    engine_state* target_engine = this->engines.find(item.engine);
    if (target_engine != nullptr) {
        target_engine->runs.erase(*item.run);
        target_engine->reserved -= item.reserved;
    }
    this->runs.erase(*item.run);
    item.run.reset();
    this->shares.run_ended(*std::exchange(item.share, nullptr));
}

void item_scheduler::state::cancel(scheduled_item& item) {
    const run_id run = *item.run;
    this->release_slot(item);
    this->output.push_back(cancel_run{run});
}

void item_scheduler::state::reschedule(scheduled_item& item, run_cause cause) {
    const job_state& job = this->jobs.at(item.job);
    item.avoided_engine = item.engine;
    item.next_cause = cause;
    if (!item.satisfies(job.spec)) {
        item.discard_events();
    }
    if (job.is_closed) {
        this->remove(item.spec.id, false);
        return;
    }
    this->enqueue(item);
}

void item_scheduler::state::give_up(scheduled_item& item, give_up_reason reason) {
    this->output.push_back(item_given_up{item.job, item.spec.id, reason});
    job_state& job = this->jobs.at(item.job);
    this->remove(item.spec.id, false);
    if (job.spec.due_at) {
        this->update_ranks(job);
    }
    this->erase_finished_jobs();
}

void item_scheduler::state::remove(item_id id, bool is_complete) {
    this->erase(this->items.at(id), is_complete);
    this->output.push_back(discard_item_text{std::move(id)});
}

void item_scheduler::state::erase(scheduled_item& item, bool is_complete) {
    this->waiting.remove(item);
    this->jobs.at(item.job).ranks.remove(item, is_complete);
    const item_id id = item.spec.id;
    this->items.erase(id);
}

void item_scheduler::state::erase_finished_jobs() {
    std::erase_if(this->jobs,
                  [](const auto& job) { return job.second.ranks.open_item_count() == 0; });
}

tokens item_scheduler::state::mean_output_of(const model_name& model) const {
    const auto mean = this->mean_output.find(model);
    return mean == this->mean_output.end() ? default_output : mean->second;
}

void item_scheduler::state::update_mean_output(const scheduled_item& item) {
    const job_opened& job = this->jobs.at(item.job).spec;
    const auto output_size =
        static_cast<std::int64_t>(item.received_events) * job.tokens_per_event.count();
    const auto mean = this->mean_output.try_emplace(job.model, tokens(output_size)).first;
    const std::int64_t previous = mean->second.count();
    mean->second = tokens(previous + (output_size - previous) / output_averaging_items);
}

scheduled_item* item_scheduler::state::find_running_item(run_id run) {
    const auto found = this->runs.find(run);
    return found == this->runs.end() ? nullptr : &this->items.at(found->second);
}

} // namespace kingcupcart::batch
