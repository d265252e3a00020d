#include "routing/router.h"

#include "routing/internal/router_state.h"
#include "routing/internal/running_median.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::routing {

namespace {

/// A token that takes longer than this multiple of the median interval is left out of the fit.
constexpr int outlier_ratio = 3;

} // namespace

router::router(location local_location, router_limits limits, std::uint64_t seed)
    : impl(std::make_unique<state>(std::move(local_location), limits, seed)) {}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::update_target(const target_profile& profile) {
    this->impl->update_target(profile);
}

void router::remove_target(const target_id& target) {
    this->impl->remove_target(target);
}

void router::reset_target(const target_id& target) {
    target_state* entry = this->impl->find(target);
    if (entry == nullptr) {
        return;
    }
    entry->health = target_health{};
    this->impl->place_in_tier(*entry);
}

void router::set_instances(int count) {
    this->impl->instances = std::max(1, count);
}

void router::set_permits(const permits::permit_account* permits) {
    this->impl->permits = permits;
}

std::vector<target_id> router::find_only_limited(const route_query& query) const {
    return this->impl->find_only_limited(query);
}

bool router::has_several_versions(const backend_name& backend) const {
    const auto found = this->impl->pools.find(backend);
    return found != this->impl->pools.end() && found->second.by_software.size() > 1;
}

bool router::has_target(const route_query& query) const {
    return this->impl->has_target(query);
}

bool router::can_leave_reserve(const target_id& target, const route_query& query,
                               time_point now) const {
    return this->impl->can_leave_reserve(target, query, now);
}

backend_name router::backend_of(const target_id& target) const {
    const target_state* entry = this->impl->find(target);
    return entry == nullptr ? backend_name() : entry->profile.backend;
}

route_choice router::choose(const route_query& query, time_point now) {
    return this->impl->choose(query, now);
}

void router::record_sent(const target_id& target, urgency kind, time_point now, tokens prompt) {
    target_state* entry = this->impl->find(target);
    if (entry == nullptr) {
        return;
    }
    target_pool& pool = this->impl->pool_of(*entry);
    this->impl->add_waiting(*entry, kind, now, prompt);
    if (kind == urgency::long_work) {
        ++entry->long_running;
        ++pool.long_running;
        return;
    }
    ++entry->short_running;
    ++pool.short_running;
    pool.short_load.set(pool.short_running, now);
}

void router::record_first_output(const target_id& target, urgency kind, time_point sent,
                                 time_point now) {
    target_state* entry = this->impl->find(target);
    if (entry == nullptr) {
        return;
    }
    const duration reading = this->impl->remove_waiting(*entry, sent, now);
    this->impl->observe_first_output(*entry, kind, sent, now, reading);
}

void router::record_progress(const target_id& target, urgency kind, tokens produced,
                             duration elapsed) {
    target_state* entry = this->impl->find(target);
    if (entry == nullptr || produced.count() <= 0 || !entry->health.is_in_use()) {
        return;
    }
    const duration interval = elapsed / produced.count();
    target_pool& pool = this->impl->pool_of(*entry);
    duration& expected =
        kind == urgency::short_work ? pool.expected_interval : pool.expected_long_interval;
    expected = update_median(expected, interval);
    if (interval < expected * outlier_ratio) {
        // A longer interval usually comes from another request's prefill, which delays the whole
        // batch and does not reflect the load.
        const double seconds = std::chrono::duration<double>(interval).count();
        pool.slowdown.observe(entry->load() - 1, seconds);
    }
}

void router::record_finished(const target_id& target, urgency kind, time_point sent,
                             bool had_output, time_point now) {
    target_state* entry = this->impl->find(target);
    if (entry == nullptr) {
        return;
    }
    if (!had_output) {
        this->impl->remove_waiting(*entry, sent, std::nullopt);
        if (entry->health.is_probing()) {
            this->impl->eject(*entry, now);
        }
    }
    target_pool& pool = this->impl->pool_of(*entry);
    if (kind == urgency::long_work) {
        if (entry->long_running > 0) {
            --entry->long_running;
            --pool.long_running;
        }
        return;
    }
    if (entry->short_running > 0) {
        --entry->short_running;
        --pool.short_running;
        pool.short_load.set(pool.short_running, now);
    }
}

void router::record_failed(const target_id& target, time_point now) {
    target_state* entry = this->impl->find(target);
    if (entry != nullptr) {
        this->impl->eject(*entry, now);
    }
}

void router::record_load_report(const target_id& target, load_report report) {
    target_state* entry = this->impl->find(target);
    if (entry != nullptr) {
        entry->remote_load = std::max(0, report.running + report.waiting - entry->running());
    }
}

void router::record_cached(const target_id& target, const std::vector<prefix_hash>& blocks,
                           time_point now) {
    this->impl->prefixes.add(blocks, target, now);
}

std::vector<long_work_surplus> router::find_long_work_surplus(const backend_name& backend,
                                                              time_point now) const {
    return this->impl->find_long_work_surplus(backend, now);
}

duration router::expected_first_output(const backend_name& backend, urgency kind) const {
    const auto found = this->impl->pools.find(backend);
    return found == this->impl->pools.end() ? duration{}
                                            : found->second.expected_first_output_of(kind);
}

duration router::expected_reading_time(const backend_name& backend, tokens prompt) const {
    const auto found = this->impl->pools.find(backend);
    return found == this->impl->pools.end() ? duration{}
                                            : found->second.prompts.time_to_read(prompt);
}

duration router::expected_interval(const backend_name& backend) const {
    const auto found = this->impl->pools.find(backend);
    return found == this->impl->pools.end() ? duration{} : found->second.expected_interval;
}

std::size_t router::target_count(const backend_name& backend) const {
    const auto found = this->impl->pools.find(backend);
    return found == this->impl->pools.end() ? 0 : static_cast<std::size_t>(found->second.targets);
}

int router::running_on(const target_id& target) const {
    const target_state* entry = this->impl->find(target);
    return entry == nullptr ? 0 : entry->running();
}

} // namespace kingcupcart::routing
