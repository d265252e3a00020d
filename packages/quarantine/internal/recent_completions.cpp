#include "quarantine/recent_completions.h"

#include "quarantine/quarantine_limits.h"

namespace kingcupcart::quarantine {

void recent_completions::record(const request_fingerprint& fingerprint, time_point now) {
    this->latest.insert_or_assign(fingerprint, now);
    this->by_age.emplace_back(now, fingerprint);
    while (!this->by_age.empty() && (this->by_age.size() > this->limit ||
                                     this->by_age.front().first + answered_lifetime <= now)) {
        const auto [at, oldest] = this->by_age.front();
        this->by_age.pop_front();
        const auto known = this->latest.find(oldest);
        if (known != this->latest.end() && known->second == at) {
            this->latest.erase(known);
        }
    }
}

std::optional<time_point> recent_completions::find(const request_fingerprint& fingerprint) const {
    const auto found = this->latest.find(fingerprint);
    return found == this->latest.end() ? std::nullopt : std::optional(found->second);
}

} // namespace kingcupcart::quarantine
