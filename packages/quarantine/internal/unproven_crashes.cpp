#include "quarantine/unproven_crashes.h"

#include <iterator>

namespace kingcupcart::quarantine {

void unproven_crashes::add(const target_id& target, incarnation_id incarnation,
                           const request_fingerprint& fingerprint, time_point now) {
    crash& known = this->crashes[{target, incarnation}];
    known.since = known.suspects.empty() ? now : known.since;
    known.suspects.insert(fingerprint);
}

std::optional<unproven_crashes::crash> unproven_crashes::take(const target_id& target,
                                                              incarnation_id incarnation) {
    const auto found = this->crashes.find({target, incarnation});
    if (found == this->crashes.end()) {
        return std::nullopt;
    }
    crash taken = std::move(found->second);
    this->crashes.erase(found);
    return taken;
}

void unproven_crashes::remove_suspect(const request_fingerprint& fingerprint) {
    for (auto target = this->crashes.begin(); target != this->crashes.end();) {
        target->second.suspects.erase(fingerprint);
        target = target->second.suspects.empty() ? this->crashes.erase(target) : std::next(target);
    }
}

void unproven_crashes::expire(time_point now, duration lifetime) {
    std::erase_if(this->crashes,
                  [&](const auto& known) { return known.second.since + lifetime <= now; });
}

std::vector<checked_target> unproven_crashes::targets() const {
    std::vector<checked_target> targets;
    targets.reserve(this->crashes.size());
    for (const auto& [target, known] : this->crashes) {
        targets.push_back({target.first, target.second, known.since});
    }
    return targets;
}

} // namespace kingcupcart::quarantine
