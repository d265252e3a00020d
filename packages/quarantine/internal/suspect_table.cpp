#include "quarantine/suspect_table.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace kingcupcart::quarantine {

reported_suspect* suspect_table::find(const request_fingerprint& fingerprint) {
    const auto found = this->suspects.find(fingerprint);
    return found == this->suspects.end() ? nullptr : &found->second;
}

const reported_suspect* suspect_table::find(const request_fingerprint& fingerprint) const {
    const auto found = this->suspects.find(fingerprint);
    return found == this->suspects.end() ? nullptr : &found->second;
}

void suspect_table::erase(const request_fingerprint& fingerprint) {
    const auto found = this->suspects.find(fingerprint);
    for (const crash_history::crash& crash : found->second.history.crashes()) {
        const auto target = this->by_target.find({crash.target, crash.incarnation});
        if (target != this->by_target.end()) {
            target->second.erase(fingerprint);
            if (target->second.empty()) {
                this->by_target.erase(target);
            }
        }
    }
    this->suspects.erase(found);
}

std::optional<request_fingerprint> suspect_table::find_surplus(std::size_t max_size) const {
    if (this->suspects.size() < max_size) {
        return std::nullopt;
    }
    const auto rank = [](const auto& element) {
        const reported_suspect& known = element.second;
        return std::tuple(known.state, known.history.last_at().value_or(time_point::min()));
    };
    return std::min_element(this->suspects.begin(), this->suspects.end(),
                            [&](const auto& a, const auto& b) { return rank(a) < rank(b); })
        ->first;
}

void suspect_table::index_targets(const request_fingerprint& fingerprint) {
    for (const crash_history::crash& crash : this->suspects.at(fingerprint).history.crashes()) {
        this->by_target[{crash.target, crash.incarnation}].insert(fingerprint);
    }
}

void suspect_table::expire_targets() {
    for (auto target = this->by_target.begin(); target != this->by_target.end();) {
        const target_id& id = target->first.first;
        const incarnation_id incarnation = target->first.second;
        std::erase_if(target->second, [&](const request_fingerprint& suspect) {
            const reported_suspect* known = this->find(suspect);
            return known == nullptr || !known->history.contains(id, incarnation);
        });
        target = target->second.empty() ? this->by_target.erase(target) : std::next(target);
    }
}

std::set<request_fingerprint> suspect_table::suspects_of(const target_id& target,
                                                         incarnation_id incarnation) const {
    const auto found = this->by_target.find({target, incarnation});
    return found == this->by_target.end() ? std::set<request_fingerprint>() : found->second;
}

std::set<request_fingerprint> suspect_table::related(const request_fingerprint& fingerprint) const {
    std::set<request_fingerprint> others;
    for (const crash_history::crash& crash : this->suspects.at(fingerprint).history.crashes()) {
        const auto sharers = this->by_target.find({crash.target, crash.incarnation});
        if (crash.status == crash_status::withdrawn || sharers == this->by_target.end()) {
            continue;
        }
        for (const request_fingerprint& other : sharers->second) {
            const reported_suspect* found = this->find(other);
            if (found != nullptr && found->history.contains(crash.target, crash.incarnation)) {
                others.insert(other);
            }
        }
    }
    others.erase(fingerprint);
    return others;
}

bool suspect_table::is_confirmed(const request_fingerprint& fingerprint,
                                 const reported_suspect& known) const {
    const std::size_t count = known.history.count();
    const auto has_other_cause = [&](const crash_history::crash& crash) {
        const auto sharers = this->by_target.find({crash.target, crash.incarnation});
        return sharers != this->by_target.end() &&
               std::any_of(sharers->second.begin(), sharers->second.end(), [&](const auto& other) {
                   const reported_suspect* found = this->find(other);
                   return other != fingerprint && found != nullptr &&
                          found->history.contains(crash.target, crash.incarnation) &&
                          found->history.count() >= count;
               });
    };
    const auto& crashes = known.history.crashes();
    return std::any_of(crashes.begin(), crashes.end(), [&](const crash_history::crash& crash) {
        return crash.is_trial && crash.status != crash_status::withdrawn && !has_other_cause(crash);
    });
}

suspect_state suspect_table::evaluate(const request_fingerprint& fingerprint) const {
    const reported_suspect& known = this->suspects.at(fingerprint);
    const std::size_t count = known.history.count();
    if (count == 0) {
        return suspect_state::cleared;
    }
    if (count < crashes_until_trials) {
        return suspect_state::suspected;
    }
    if (count < crashes_until_quarantine) {
        return suspect_state::restricted;
    }
    const bool is_over = known.late_trials >= max_late_trials && !known.trial;
    const bool is_confirmed = this->is_confirmed(fingerprint, known) && known.copies.empty();
    return is_over || is_confirmed ? suspect_state::quarantined : suspect_state::unconfirmed;
}

bool suspect_table::has_related_trial(const request_fingerprint& fingerprint,
                                      time_point begun_after) const {
    bool has_trial = false;
    for (const request_fingerprint& other : this->related(fingerprint)) {
        const reported_suspect& sharer = this->suspects.at(other);
        if (sharer.state == suspect_state::quarantined) {
            return false;
        }
        has_trial = has_trial || (sharer.trial && sharer.trial->granted_at > begun_after);
    }
    return has_trial;
}

} // namespace kingcupcart::quarantine
