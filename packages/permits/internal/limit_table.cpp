#include "permits/limit_table.h"

#include <cmath>

namespace kingcupcart::permits {

namespace {

/// Limits are kept in millionths, as instances report them to each other: otherwise a reported
/// limit would differ from the one in the next response.
constexpr double precision = 1e6;

} // namespace

const char* to_string(limit_change change) {
    switch (change) {
    case limit_change::none:
        return "none";
    case limit_change::begun:
        return "begun";
    case limit_change::changed:
        return "changed";
    case limit_change::ended:
        return "ended";
    }
    return "?";
}

limit_change limit_table::apply(const target_limit& stated) {
    const auto found = this->entries.find(stated.target);
    if (found == this->entries.end()) {
        if (!stated.rate) {
            return limit_change::none;
        }
        this->entries.emplace(stated.target, stated);
        return limit_change::begun;
    }
    target_limit& known = found->second;
    const bool is_newer = stated.incarnation == known.incarnation
                              ? stated.stated_at > known.stated_at
                              : stated.incarnation > known.incarnation;
    if (!is_newer) {
        return limit_change::none;
    }
    const std::optional<requests_per_second> previous = known.rate;
    known = stated;
    if (previous == stated.rate) {
        return limit_change::none;
    }
    if (!previous) {
        return limit_change::begun;
    }
    return stated.rate ? limit_change::changed : limit_change::ended;
}

std::optional<target_limit> limit_table::read(const target_id& target, incarnation_id incarnation,
                                              const limit_statement& statement,
                                              time_point sent_at) const {
    target_limit stated{target, incarnation, {}, sent_at};
    if (statement.says == limit_statement::kind::limited) {
        stated.rate =
            requests_per_second(std::round(statement.rate.count() * precision) / precision);
        return stated;
    }
    // Most targets never name a limit, and then there is none that could end.
    const bool is_end =
        statement.says == limit_statement::kind::unlimited && this->find(target) != nullptr;
    return is_end ? std::optional(stated) : std::nullopt;
}

void limit_table::set_incarnation(const target_id& target, incarnation_id incarnation) {
    const auto found = this->entries.find(target);
    if (found != this->entries.end() && found->second.incarnation < incarnation) {
        this->entries.erase(found);
    }
}

const target_limit* limit_table::find(const target_id& target) const {
    const auto found = this->entries.find(target);
    return found == this->entries.end() || !found->second.rate ? nullptr : &found->second;
}

std::vector<target_limit> limit_table::limits() const {
    std::vector<target_limit> result;
    for (const auto& [target, limit] : this->entries) {
        if (limit.rate) {
            result.push_back(limit);
        }
    }
    return result;
}

} // namespace kingcupcart::permits
