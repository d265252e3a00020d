#include "paths/path_table.h"

#include <algorithm>

namespace kingcupcart::paths {

namespace {

/// Weight of the newest measurement in the average of those that are lower.
constexpr int opening_smoothing = 8;
/// Each probe is earlier or later by up to this part of its delay, so that instances that were cut
/// off together do not probe together.
constexpr double probe_jitter = 0.25;

} // namespace

path_table::path_table(path_limits limits, std::uint64_t seed) : limits(limits), random(seed) {}

void path_table::update_target(const target_id& target, const backend_name& backend,
                               bool is_leaving) {
    target_path& path = this->targets[target];
    if (path.backend != backend) {
        this->leave_backend(target, path.backend);
        path = {};
        path.backend = backend;
        this->backends[backend].targets.insert(target);
    }
    path.is_leaving = is_leaving;
}

void path_table::reset_target(const target_id& target) {
    const auto found = this->targets.find(target);
    if (found != this->targets.end()) {
        found->second.lost.reset();
    }
}

void path_table::remove_target(const target_id& target) {
    const auto found = this->targets.find(target);
    if (found != this->targets.end()) {
        this->leave_backend(target, found->second.backend);
        this->targets.erase(found);
    }
}

void path_table::leave_backend(const target_id& target, const backend_name& backend) {
    const auto found = this->backends.find(backend);
    if (found == this->backends.end()) {
        return;
    }
    found->second.targets.erase(target);
    if (found->second.targets.empty()) {
        this->backends.erase(found);
    }
}

std::vector<target_id> path_table::record_open(const target_id& target, duration opening,
                                               time_point now) {
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return {};
    }
    target_path& path = found->second;
    const duration before = path.opening.value_or(opening);
    path.opening = std::max(opening, before + (opening - before) / opening_smoothing);
    backend_paths& paths = this->backends.at(path.backend);
    std::vector<target_id> regained;
    if (this->is_cut_off(paths, now)) {
        for (const target_id& other : paths.targets) {
            target_path& other_path = this->targets.at(other);
            if (other_path.lost) {
                other_path.lost.reset();
                regained.push_back(other);
            }
        }
    }
    path.lost.reset();
    paths.last_opened = now;
    paths.probe_delay = {};
    return regained;
}

void path_table::record_reached(const target_id& target, time_point /*now*/) {
    const auto found = this->targets.find(target);
    if (found != this->targets.end() && found->second.lost &&
        found->second.lost->evidence == path_evidence::silent) {
        found->second.lost.reset();
    }
}

void path_table::record_lost(const target_id& target, path_evidence evidence, time_point now) {
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return;
    }
    target_path& path = found->second;
    path.lost = loss{now, evidence};
    if (evidence == path_evidence::open_timed_out && path.opening) {
        // A path that has become slower would never be measured again.
        path.opening = std::min(*path.opening * 2, this->limits.longest_open_timeout);
    }
}

const path_table::target_path* path_table::find(const target_id& target) const {
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second;
}

bool path_table::counts(const target_path& path, time_point now) const {
    return path.lost && now - path.lost->at < this->limits.max_evidence_age;
}

bool path_table::is_lost(const target_id& target, time_point now) const {
    const target_path* path = this->find(target);
    return path != nullptr && this->counts(*path, now);
}

bool path_table::is_silent(const target_id& target, time_point now) const {
    const target_path* path = this->find(target);
    return path != nullptr && this->counts(*path, now) &&
           path->lost->evidence == path_evidence::silent;
}

bool path_table::is_cut_off(const backend_paths& paths, time_point now) const {
    std::size_t staying = 0;
    std::size_t lost = 0;
    for (const target_id& target : paths.targets) {
        const target_path& path = this->targets.at(target);
        if (path.is_leaving) {
            continue;
        }
        ++staying;
        if (this->counts(path, now) && path.lost->at > paths.last_opened) {
            ++lost;
        }
    }
    return staying > 0 && lost >= std::min(this->limits.lost_targets, staying);
}

bool path_table::is_cut_off(const backend_name& backend, time_point now) const {
    const auto found = this->backends.find(backend);
    return found != this->backends.end() && this->is_cut_off(found->second, now);
}

std::vector<backend_name> path_table::cut_off_backends(time_point now) const {
    std::vector<backend_name> names;
    for (const auto& [name, paths] : this->backends) {
        if (this->is_cut_off(paths, now)) {
            names.push_back(name);
        }
    }
    return names;
}

duration path_table::open_timeout(const target_id& target) const {
    const target_path* path = this->find(target);
    if (path == nullptr || !path->opening) {
        return this->limits.first_open_timeout;
    }
    return std::clamp(*path->opening * this->limits.open_timeout_multiple +
                          this->limits.open_timeout_margin,
                      this->limits.shortest_open_timeout, this->limits.longest_open_timeout);
}

void path_table::record_needed(const backend_name& backend, time_point now) {
    const auto found = this->backends.find(backend);
    if (found != this->backends.end()) {
        found->second.last_needed = now;
    }
}

bool path_table::wants_probes(const backend_paths& paths, time_point now) const {
    return now - paths.last_needed < this->limits.probe_window && this->is_cut_off(paths, now);
}

std::optional<time_point> path_table::next_probe(time_point now) const {
    std::optional<time_point> next;
    for (const auto& [name, paths] : this->backends) {
        if (this->wants_probes(paths, now)) {
            next = next ? std::min(*next, paths.next_probe) : paths.next_probe;
        }
    }
    return next;
}

std::optional<target_id> path_table::next_target(const backend_paths& paths) const {
    const auto is_staying = [&](const target_id& target) {
        return !this->targets.at(target).is_leaving;
    };
    const auto after = paths.targets.upper_bound(paths.last_probed);
    auto found = std::find_if(after, paths.targets.end(), is_staying);
    if (found == paths.targets.end()) {
        found = std::find_if(paths.targets.begin(), after, is_staying);
        if (found == after) {
            return std::nullopt;
        }
    }
    return *found;
}

std::vector<target_id> path_table::take_due_probes(time_point now) {
    std::vector<target_id> due;
    for (auto& [name, paths] : this->backends) {
        if (!this->wants_probes(paths, now) || paths.next_probe > now) {
            continue;
        }
        const auto target = this->next_target(paths);
        if (!target) {
            continue;
        }
        paths.last_probed = *target;
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
