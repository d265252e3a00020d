#include "batch/item_scheduler.h"

#include "batch/internal/group_ranks.h"
#include "batch/internal/item_scheduler_state.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::batch {

namespace {

/// Output of an item before any other has ended: a page of text.
constexpr tokens output_unknown{1000};
/// Groups that are remembered, to know those that come again; some hundreds stand in a job.
constexpr std::size_t known_groups_max = 20000;
/// Items over which the average of outputs runs.
constexpr std::int64_t output_memory = 32;

} // namespace

item_scheduler::item_scheduler(scheduler_limits limits) : self(std::make_unique<state>(limits)) {}

item_scheduler::~item_scheduler() = default;

scheduler_actions item_scheduler::handle(const scheduler_message& incoming, time_point now) {
    this->self->now = now;
    std::visit([this](const auto& alternative) { this->self->on(alternative); }, incoming);
    const bool is_of_a_run = std::holds_alternative<run_progressed>(incoming) ||
                             std::holds_alternative<run_sent>(incoming);
    if (!is_of_a_run || !this->self->output.empty()) {
        // What a run does alone frees no engine.
        this->self->fill();
    }
    return std::exchange(this->self->output, {});
}

std::optional<time_point> item_scheduler::next_wakeup() const {
    if (this->self->items.empty()) {
        return std::nullopt;
    }
    return this->self->checked_at + this->self->limits.check_interval;
}

std::size_t item_scheduler::waiting_count() const {
    return this->self->waiting.size();
}

std::size_t item_scheduler::running_count() const {
    return this->self->runs.size();
}

void item_scheduler::state::on(const job_opened& opened) {
    this->jobs.insert_or_assign(opened.job, job_state{opened, false, this->now});
    const auto ranks = rank_groups(opened, this->known_groups);
    for (const open_item& facts : opened.items) {
        auto [place, is_new] = this->items.try_emplace(facts.id);
        scheduled_item& item = place->second;
        std::erase(this->waiting, facts.id);
        const bool may_go_on = !is_new && item.fits(opened);
        item.job = opened.job;
        item.facts = facts;
        if (facts.output.count() == 0) {
            item.facts.output = this->usual_output_of(opened.model);
        }
        item.rank = ranks.at(facts.group);
        item.failures = 0;
        item.moves = 0;
        if (item.is_running() && may_go_on) {
            continue;
        }
        if (item.is_running()) {
            this->cancel(item);
        }
        if (!may_go_on) {
            item.forget_events();
            item.next_cause = run_cause::first;
        }
        this->wait(item);
    }
    this->remember_groups(opened);
    this->forget_finished_jobs();
}

void item_scheduler::state::remember_groups(const job_opened& opened) {
    for (const open_item& item : opened.items) {
        if (this->known_groups.insert(item.group).second) {
            this->known_groups_by_age.push_back(item.group);
        }
    }
    while (this->known_groups_by_age.size() > known_groups_max) {
        this->known_groups.erase(this->known_groups_by_age.front());
        this->known_groups_by_age.pop_front();
    }
}

void item_scheduler::state::on(const job_closed& closed) {
    const auto job = this->jobs.find(closed.job);
    if (job == this->jobs.end()) {
        return;
    }
    job->second.is_closed = true;
    const std::vector<item_id> waited = this->waiting;
    for (const item_id& id : waited) {
        if (this->items.at(id).job == closed.job) {
            this->remove(id);
        }
    }
    this->forget_finished_jobs();
}

void item_scheduler::state::on(const job_moved& moved) {
    const auto job = this->jobs.find(moved.job);
    if (job != this->jobs.end()) {
        job->second.facts.services = moved.services;
    }
}

void item_scheduler::state::on(const engine_changed& changed) {
    engine_state& state = this->engines.update(changed.state);
    if (!changed.is_restarted) {
        return;
    }
    this->engines.forget_pace(state);
    state.next_pause = duration::zero();
    state.paused_until = time_point{};
    const std::set<run_id> lost = state.runs;
    for (const run_id run : lost) {
        scheduled_item& item = *this->item_of(run);
        this->cancel(item);
        this->run_again(item, run_cause::again);
    }
}

void item_scheduler::state::on(const engine_gone& gone) {
    engine_state* state = this->engines.find(gone.engine);
    if (state == nullptr) {
        return;
    }
    if (!state->runs.empty()) {
        // It may finish what it has.
        state->known.is_leaving = true;
        return;
    }
    this->engines.remove(gone.engine);
}

void item_scheduler::state::on(const run_sent& sent) {
    scheduled_item* item = this->item_of(sent.run);
    if (item != nullptr) {
        item->run_started = this->now;
        item->last_event_at = this->now;
    }
}

void item_scheduler::state::on(const run_progressed& progressed) {
    scheduled_item* item = this->item_of(progressed.run);
    if (item == nullptr) {
        return;
    }
    engine_state* at = this->engines.find(item->engine);
    if (at != nullptr && item->has_event_in_run && progressed.last_event > item->events) {
        const auto events = static_cast<duration::rep>(progressed.last_event - item->events);
        this->engines.observe(*at, (this->now - item->last_event_at) / events, this->now);
    }
    if (at != nullptr) {
        at->next_pause = duration::zero();
    }
    item->has_event_in_run = true;
    item->last_event_at = this->now;
    item->events = progressed.last_event;
    item->oldest = progressed.oldest;
    item->newest = progressed.newest;
    const job_state& job = this->jobs.at(item->job);
    if (!item->fits(job.facts)) {
        this->cancel(*item);
        this->run_again(*item, run_cause::again);
    }
}

void item_scheduler::state::on(const run_completed& completed) {
    scheduled_item* item = this->item_of(completed.run);
    if (item == nullptr) {
        return;
    }
    this->release(*item);
    this->learn_output(*item);
    this->output.push_back(item_completed{item->job, item->facts.id});
    const item_id id = item->facts.id;
    this->items.erase(id);
    this->forget_finished_jobs();
}

void item_scheduler::state::on(const run_failed& failed) {
    scheduled_item* item = this->item_of(failed.run);
    if (item == nullptr) {
        return;
    }
    engine_state* at = this->engines.find(item->engine);
    this->release(*item);
    switch (failed.failure) {
    case run_failure::declined:
        if (at != nullptr) {
            at->paused_until = this->now + this->limits.pause_declined;
        }
        break;
    case run_failure::broken:
        if (at != nullptr && !item->has_event_in_run) {
            this->engines.pause(*at, this->now);
        }
        break;
    case run_failure::failed:
        if (++item->failures >= this->jobs.at(item->job).facts.failures_max) {
            this->give_up(*item, give_up_reason::failures);
            return;
        }
        break;
    case run_failure::impossible:
        this->give_up(*item, give_up_reason::impossible);
        return;
    case run_failure::stale:
        item->forget_events();
        if (at != nullptr) {
            at->paused_until = this->now + this->limits.pause_declined;
        }
        break;
    }
    this->run_again(*item, run_cause::again);
}

void item_scheduler::state::fill() {
    if (this->waiting.empty() || !this->engines.has_room(this->now)) {
        return;
    }
    std::vector<item_id> left;
    std::set<job_id> full;
    for (const item_id& id : std::exchange(this->waiting, {})) {
        scheduled_item& item = this->items.at(id);
        engine_state* at = full.contains(item.job) ? nullptr : this->choose(item);
        if (at == nullptr &&
            !this->engines.has_room_for(this->jobs.at(item.job).facts, this->now)) {
            full.insert(item.job);
        }
        if (at == nullptr) {
            left.push_back(id);
        } else {
            this->start(item, *at);
        }
    }
    this->waiting = std::move(left);
}

engine_state* item_scheduler::state::choose(const scheduled_item& item) {
    const job_state& job = this->jobs.at(item.job);
    engine_state* at = this->engines.choose(item, job.facts, this->now);
    const bool may_wait =
        item.rank == item_rank::spare && this->now - job.opened_at < this->limits.spare_patience;
    if (at != nullptr && may_wait && !this->engines.has_newest(*at, job.facts.model)) {
        // It will most likely be finished for the next job, which does not take these weights.
        return nullptr;
    }
    return at;
}

bool item_scheduler::state::comes_before(const item_id& a, const item_id& b) const {
    const scheduled_item& first = this->items.at(a);
    const scheduled_item& second = this->items.at(b);
    if (first.rank != second.rank) {
        return first.rank < second.rank;
    }
    return first.facts.output > second.facts.output;
}

void item_scheduler::state::wait(scheduled_item& item) {
    const auto place = std::upper_bound(
        this->waiting.begin(), this->waiting.end(), item.facts.id,
        [this](const item_id& a, const item_id& b) { return this->comes_before(a, b); });
    this->waiting.insert(place, item.facts.id);
}

void item_scheduler::state::start(scheduled_item& item, engine_state& at) {
    const run_id run(++this->last_run);
    item.run = run;
    item.engine = at.known.id;
    item.reserved = this->engines.expected_room(item);
    item.run_started = this->now;
    item.last_event_at = this->now;
    item.has_event_in_run = false;
    if (!this->jobs.at(item.job).facts.is_resumable) {
        item.forget_events();
    }
    this->runs.emplace(run, item.facts.id);
    const int running = at.running();
    at.runs.insert(run);
    at.reserved += item.reserved;
    this->output.push_back(
        start_run{run, item.job, item.facts.id, at.known.id, item.events, item.next_cause, running,
                  this->engines.slowness(at, this->now), item.facts.output.count()});
}

void item_scheduler::state::release(scheduled_item& item) {
    engine_state* at = this->engines.find(item.engine);
    if (at != nullptr) {
        at->runs.erase(*item.run);
        at->reserved -= item.reserved;
    }
    this->runs.erase(*item.run);
    item.run.reset();
}

void item_scheduler::state::cancel(scheduled_item& item) {
    const run_id run = *item.run;
    this->release(item);
    this->output.push_back(cancel_run{run});
}

void item_scheduler::state::run_again(scheduled_item& item, run_cause cause) {
    const job_state& job = this->jobs.at(item.job);
    item.avoided = item.engine;
    item.next_cause = cause;
    if (!item.fits(job.facts)) {
        item.forget_events();
    }
    if (job.is_closed) {
        this->remove(item.facts.id);
        return;
    }
    this->wait(item);
}

void item_scheduler::state::give_up(scheduled_item& item, give_up_reason reason) {
    this->output.push_back(item_given_up{item.job, item.facts.id, reason});
    this->remove(item.facts.id);
    this->forget_finished_jobs();
}

void item_scheduler::state::remove(item_id id) {
    std::erase(this->waiting, id);
    this->items.erase(id);
    this->output.push_back(item_dropped{std::move(id)});
}

void item_scheduler::state::forget_finished_jobs() {
    std::erase_if(this->jobs, [this](const auto& job) {
        return std::none_of(this->items.begin(), this->items.end(),
                            [&](const auto& item) { return item.second.job == job.first; });
    });
}

tokens item_scheduler::state::usual_output_of(const model_name& model) const {
    const auto known = this->usual_output.find(model);
    return known == this->usual_output.end() ? output_unknown : known->second;
}

void item_scheduler::state::learn_output(const scheduled_item& item) {
    const job_opened& job = this->jobs.at(item.job).facts;
    const auto whole = static_cast<std::int64_t>(item.events) * job.tokens_per_event.count();
    const auto known = this->usual_output.try_emplace(job.model, tokens(whole)).first;
    const std::int64_t usual = known->second.count();
    known->second = tokens(usual + (whole - usual) / output_memory);
}

scheduled_item* item_scheduler::state::item_of(run_id run) {
    const auto found = this->runs.find(run);
    return found == this->runs.end() ? nullptr : &this->items.at(found->second);
}

} // namespace kingcupcart::batch
