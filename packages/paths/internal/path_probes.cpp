#include "paths/path_table.h"

#include <algorithm>

/// When the paths to a backend that the instance is cut off from are tried again.
namespace kingcupcart::paths {

namespace {

/// Each probe is earlier or later by up to this part of its delay, so that instances that were cut
/// off together do not probe together.
constexpr double probe_jitter = 0.25;

} // namespace

void path_table::record_needed(const backend_name& backend, time_point now) {
    const auto found = this->backends.find(backend);
    if (found != this->backends.end()) {
        found->second.last_needed = now;
    }
}

bool path_table::wants_probes(const backend_paths& paths, time_point now) const {
    return paths.last_needed && now - *paths.last_needed < this->limits.probe_window &&
           this->is_cut_off(paths, now);
}

time_point path_table::due_probe(const backend_paths& paths, time_point now) {
    const time_point due = paths.next_probe.value_or(now);
    return paths.probe_end ? std::max(due, *paths.probe_end) : due;
}

std::optional<time_point> path_table::next_probe(time_point now) const {
    std::optional<time_point> next;
    if (this->loss_count == 0) {
        return next;
    }
    for (const auto& [name, paths] : this->backends) {
        if (this->wants_probes(paths, now)) {
            const time_point due = due_probe(paths, now);
            next = next ? std::min(*next, due) : due;
        }
    }
    return next;
}

std::optional<target_id> path_table::next_target(const backend_paths& paths, time_point now) const {
    // Those behind the last one come first.
    std::vector<target_id> rotated(paths.targets.upper_bound(paths.last_probed),
                                   paths.targets.end());
    rotated.insert(rotated.end(), paths.targets.begin(),
                   paths.targets.upper_bound(paths.last_probed));
    std::erase_if(rotated, [&](const auto& target) { return this->targets.at(target).is_leaving; });
    if (rotated.empty()) {
        return std::nullopt;
    }
    // One that is not lost shows soonest that only some are.
    const auto unknown = std::find_if(rotated.begin(), rotated.end(), [&](const auto& target) {
        return !this->is_lost(target, now);
    });
    return unknown == rotated.end() ? rotated.front() : *unknown;
}

std::vector<target_id> path_table::take_due_probes(time_point now) {
    std::vector<target_id> due;
    if (this->loss_count == 0) {
        return due;
    }
    for (auto& [name, paths] : this->backends) {
        if (!this->wants_probes(paths, now) || due_probe(paths, now) > now) {
            continue;
        }
        const auto target = this->next_target(paths, now);
        if (!target) {
            continue;
        }
        paths.last_probed = *target;
        paths.probe_end = now + this->limits.longest_open_timeout;
        paths.probe_delay = std::clamp(paths.probe_delay * 2, this->limits.first_probe_delay,
                                       this->limits.longest_probe_delay);
        std::uniform_real_distribution<double> jitter(1 - probe_jitter, 1 + probe_jitter);
        const double delay = static_cast<double>(paths.probe_delay.count()) * jitter(this->random);
        paths.next_probe = now + duration(static_cast<duration::rep>(delay));
        due.push_back(*target);
    }
    return due;
}

} // namespace kingcupcart::paths
