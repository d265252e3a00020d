#include "paths/path_table.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace kingcupcart::paths {

namespace {

/// Weight of the newest measurement in the average of those that are lower.
constexpr int opening_smoothing = 8;

} // namespace

path_table::path_table(path_limits limits, std::uint64_t seed) : limits(limits), random(seed) {}

void path_table::update_target(const target_id& target, const backend_name& backend,
                               bool is_leaving, time_point now) {
    const auto [found, is_new] = this->targets.try_emplace(target);
    target_path& path = found->second;
    if (!is_new && path.backend == backend && path.is_leaving == is_leaving) {
        return;
    }
    if (!is_new && path.backend == backend) {
        // A target that leaves may refuse connections, and one that has left off leaving is sound.
        this->forget(target, path, now);
        path.is_leaving = is_leaving;
        backend_paths& paths = this->backends.at(backend);
        paths.staying = is_leaving ? paths.staying - 1 : paths.staying + 1;
        return;
    }
    if (!is_new) {
        this->leave_backend(target, path);
        path = {};
    }
    path.backend = backend;
    path.is_leaving = is_leaving;
    backend_paths& paths = this->backends[backend];
    paths.targets.insert(target);
    paths.staying += is_leaving ? 0 : 1;
}

void path_table::reset_target(const target_id& target, time_point now) {
    const auto found = this->targets.find(target);
    if (found != this->targets.end()) {
        this->forget(target, found->second, now);
    }
}

void path_table::remove_target(const target_id& target) {
    const auto found = this->targets.find(target);
    if (found != this->targets.end()) {
        this->leave_backend(target, found->second);
        this->targets.erase(found);
    }
}

void path_table::leave_backend(const target_id& target, target_path& path) {
    const auto found = this->backends.find(path.backend);
    backend_paths& paths = found->second;
    this->erase_unopened(paths, path);
    this->erase_silent(paths, path);
    this->end_probe(target, paths);
    paths.targets.erase(target);
    paths.staying -= path.is_leaving ? 0 : 1;
    if (paths.targets.empty()) {
        this->backends.erase(found);
    }
}

void path_table::erase_unopened(backend_paths& paths, target_path& path) {
    if (path.unopened) {
        this->loss_count -= paths.unopened.erase(path.unopened->order);
        this->loss_count -= paths.unopened_before.erase(path.unopened->order);
        path.unopened.reset();
    }
}

void path_table::erase_silent(backend_paths& paths, target_path& path) {
    if (path.silent) {
        this->loss_count -= paths.silent.erase(path.silent->order);
        path.silent.reset();
    }
}

void path_table::forget(const target_id& target, target_path& path, time_point now) {
    if (!path.unopened && !path.silent) {
        return;
    }
    const loss& known = path.unopened ? *path.unopened : *path.silent;
    this->changes.push_back({target, path.backend, false, known.evidence, now - known.first});
    backend_paths& paths = this->backends.at(path.backend);
    this->erase_unopened(paths, path);
    this->erase_silent(paths, path);
}

void path_table::end_probe(const target_id& target, backend_paths& paths) {
    if (paths.last_probed == target) {
        paths.probe_end.reset();
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
    if (this->loss_count == 0) {
        return {};
    }
    backend_paths& paths = this->backends.at(path.backend);
    this->end_probe(target, paths);
    const bool was_lost = path.unopened && paths.unopened.contains(path.unopened->order);
    std::vector<target_id> regained;
    // Another target that opens shows only that not all are lost: the others would be taken for a
    // new cut if they were tried again.
    if (was_lost && this->is_cut_off(paths, now)) {
        for (const losses* of_backend : {&paths.unopened, &paths.unopened_before, &paths.silent}) {
            std::transform(of_backend->begin(), of_backend->end(), std::back_inserter(regained),
                           [](const auto& entry) { return entry.second; });
        }
        std::sort(regained.begin(), regained.end());
        regained.erase(std::unique(regained.begin(), regained.end()), regained.end());
        for (const target_id& other : regained) {
            this->forget(other, this->targets.at(other), now);
        }
    }
    this->forget(target, path, now);
    paths.unopened_before.merge(paths.unopened);
    paths.last_heard = ++this->last_order;
    paths.probe_delay = {};
    paths.next_probe.reset();
    return regained;
}

void path_table::record_reached(const target_id& target, time_point now) {
    if (this->loss_count == 0) {
        return;
    }
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return;
    }
    target_path& path = found->second;
    backend_paths& paths = this->backends.at(path.backend);
    paths.last_heard = ++this->last_order;
    if (!path.unopened) {
        this->forget(target, path, now);
    }
    this->erase_silent(paths, path);
}

void path_table::record_lost(const target_id& target, path_evidence evidence, time_point now) {
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return;
    }
    this->expire(now);
    target_path& path = found->second;
    backend_paths& paths = this->backends.at(path.backend);
    if (evidence != path_evidence::silent) {
        this->end_probe(target, paths);
    }
    if (path.is_leaving) {
        return;
    }
    if (!path.unopened && !path.silent) {
        this->changes.push_back({target, path.backend, true, evidence, duration{}});
    }
    loss known{now, now, ++this->last_order, evidence};
    if (evidence == path_evidence::silent) {
        known.first = path.silent ? path.silent->first : now;
        this->erase_silent(paths, path);
        path.silent = known;
        paths.silent.emplace(known.order, target);
        ++this->loss_count;
        return;
    }
    // A target that is lost again says nothing new of the others.
    const bool was_before = path.unopened && paths.unopened_before.contains(path.unopened->order);
    known.first = path.unopened ? path.unopened->first : now;
    this->erase_unopened(paths, path);
    path.unopened = known;
    (was_before ? paths.unopened_before : paths.unopened).emplace(known.order, target);
    ++this->loss_count;
    if (evidence == path_evidence::open_timed_out && path.opening &&
        !this->is_cut_off(paths, now)) {
        // A path that has become slower would never be measured again.
        path.opening = std::min(*path.opening * 2, this->limits.longest_open_timeout);
    }
}

void path_table::expire(time_point now) {
    if (this->loss_count == 0) {
        return;
    }
    for (auto& [name, paths] : this->backends) {
        for (const losses* of_backend : {&paths.unopened, &paths.unopened_before, &paths.silent}) {
            while (!of_backend->empty()) {
                const target_id target = of_backend->begin()->second;
                target_path& path = this->targets.at(target);
                const bool has_unopened = this->counts(path.unopened, now);
                const bool has_silent = this->counts(path.silent, now);
                if (of_backend == &paths.silent ? has_silent : has_unopened) {
                    break;
                }
                if (!has_unopened && !has_silent) {
                    this->forget(target, path, now);
                } else if (has_unopened) {
                    this->erase_silent(paths, path);
                } else {
                    this->erase_unopened(paths, path);
                }
            }
        }
    }
}

std::optional<time_point> path_table::next_expiry() const {
    std::optional<time_point> next;
    if (this->loss_count == 0) {
        return next;
    }
    const auto add = [&](const losses& of_backend, std::optional<loss> target_path::*evidence) {
        if (!of_backend.empty()) {
            const target_path& oldest = this->targets.at(of_backend.begin()->second);
            const time_point expiry = (oldest.*evidence)->latest + this->limits.max_evidence_age;
            next = next ? std::min(*next, expiry) : expiry;
        }
    };
    for (const auto& [name, paths] : this->backends) {
        add(paths.unopened, &target_path::unopened);
        add(paths.unopened_before, &target_path::unopened);
        add(paths.silent, &target_path::silent);
    }
    return next;
}

const path_table::target_path* path_table::find(const target_id& target) const {
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second;
}

bool path_table::counts(const std::optional<loss>& evidence, time_point now) const {
    return evidence && now - evidence->latest < this->limits.max_evidence_age;
}

bool path_table::is_lost(const target_id& target, time_point now) const {
    const target_path* path = this->find(target);
    return path != nullptr &&
           (this->counts(path->unopened, now) || this->counts(path->silent, now));
}

bool path_table::is_silent(const target_id& target, time_point now) const {
    const target_path* path = this->find(target);
    return path != nullptr && this->counts(path->silent, now);
}

std::optional<time_point> path_table::cut_off_until(const backend_paths& paths) const {
    const std::size_t left = paths.staying - paths.unopened_before.size();
    const std::size_t needed = std::min(this->limits.lost_targets, left);
    if (paths.staying == 0 || paths.unopened.size() + paths.silent.size() < needed) {
        return std::nullopt;
    }
    // The newest losses of distinct targets, as many as are needed of either kind.
    std::vector<time_point> newest;
    const auto is_complete = [&](std::size_t begin) { return newest.size() - begin >= needed; };
    for (auto entry = paths.unopened.rbegin(); entry != paths.unopened.rend() && !is_complete(0);
         ++entry) {
        newest.push_back(this->targets.at(entry->second).unopened->latest);
    }
    const std::size_t unopened = newest.size();
    for (auto entry = paths.silent.rbegin();
         entry != paths.silent.rend() && entry->first > paths.last_heard && !is_complete(unopened);
         ++entry) {
        const target_path& path = this->targets.at(entry->second);
        if (!path.unopened) {
            newest.push_back(path.silent->latest);
        }
    }
    if (!is_complete(0)) {
        return std::nullopt;
    }
    if (needed == 0) {
        // All have been lost, one after the other.
        newest.push_back(this->targets.at(paths.unopened_before.rbegin()->second).unopened->latest);
    }
    std::sort(newest.begin(), newest.end(), std::greater<>());
    return newest[std::max<std::size_t>(needed, 1) - 1] + this->limits.max_evidence_age;
}

bool path_table::is_cut_off(const backend_paths& paths, time_point now) const {
    const auto until = this->cut_off_until(paths);
    return until && now < *until;
}

bool path_table::is_cut_off(const backend_name& backend, time_point now) const {
    if (this->loss_count == 0) {
        return false;
    }
    const auto found = this->backends.find(backend);
    return found != this->backends.end() && this->is_cut_off(found->second, now);
}

std::vector<backend_name> path_table::cut_off_backends(time_point now) const {
    std::vector<backend_name> names;
    if (this->loss_count == 0) {
        return names;
    }
    for (const auto& [name, paths] : this->backends) {
        if (this->is_cut_off(paths, now)) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<target_id> path_table::targets_of(const backend_name& backend) const {
    std::vector<target_id> staying;
    const auto found = this->backends.find(backend);
    if (found != this->backends.end()) {
        std::copy_if(found->second.targets.begin(), found->second.targets.end(),
                     std::back_inserter(staying),
                     [&](const target_id& target) { return !this->targets.at(target).is_leaving; });
    }
    return staying;
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

std::vector<path_change> path_table::take_changes() {
    return std::exchange(this->changes, {});
}

} // namespace kingcupcart::paths
