#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "quarantine/crash_messages.h"
#include "quarantine/reported_suspect.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace kingcupcart::quarantine {

/// The suspects that a keeper knows, and which of them may have crashed the same targets.
class suspect_table {
public:
    /// Null if the request is none of them.
    [[nodiscard]] reported_suspect* find(const request_fingerprint& fingerprint);
    [[nodiscard]] const reported_suspect* find(const request_fingerprint& fingerprint) const;
    [[nodiscard]] reported_suspect& at(const request_fingerprint& fingerprint) {
        return this->suspects.at(fingerprint);
    }
    /// The suspect with this fingerprint, which is added if it is not known.
    reported_suspect& add(const request_fingerprint& fingerprint) {
        return this->suspects[fingerprint];
    }
    void erase(const request_fingerprint& fingerprint);
    /// The suspect to drop first: with the fewest crashes, and of these the oldest. Empty unless
    /// there are `max_size` of them.
    [[nodiscard]] std::optional<request_fingerprint> find_surplus(std::size_t max_size) const;

    /// Has to be called after a crash of the suspect was recorded.
    void index_targets(const request_fingerprint& fingerprint);
    /// Has to be called after crashes have expired, so that `suspects_of` forgets them.
    void expire_targets();
    /// The suspects that may have crashed this incarnation of the target.
    [[nodiscard]] std::set<request_fingerprint> suspects_of(const target_id& target,
                                                            incarnation_id incarnation) const;
    /// Other suspects that crashed a target of this one.
    [[nodiscard]] std::set<request_fingerprint>
    related(const request_fingerprint& fingerprint) const;
    /// The state that follows from the crashes and trials of the suspect and of its related ones.
    [[nodiscard]] suspect_state evaluate(const request_fingerprint& fingerprint) const;
    /// Whether a trial of a related suspect began after this time, while no related suspect is
    /// known to be the cause.
    [[nodiscard]] bool has_related_trial(const request_fingerprint& fingerprint,
                                         time_point begun_after) const;

    [[nodiscard]] auto begin() { return this->suspects.begin(); }
    [[nodiscard]] auto end() { return this->suspects.end(); }
    [[nodiscard]] auto begin() const { return this->suspects.begin(); }
    [[nodiscard]] auto end() const { return this->suspects.end(); }

private:
    /// Whether a trial crashed that no other suspect explains.
    [[nodiscard]] bool is_confirmed(const request_fingerprint& fingerprint,
                                    const reported_suspect& known) const;

    std::map<request_fingerprint, reported_suspect> suspects;
    std::map<std::pair<target_id, incarnation_id>, std::set<request_fingerprint>> by_target;
};

} // namespace kingcupcart::quarantine
