#include "fleet/target_limits.h"

#include <spdlog/spdlog.h>

namespace kingcupcart::fleet {

namespace {

/// Shortest time between two log lines about limits that can't be read.
constexpr duration malformed_log_interval = std::chrono::seconds(1);

} // namespace

void target_limits::record(const target_id& target, incarnation_id incarnation,
                           const permits::limit_statement& statement, time_point sent_at) {
    using permits::limit_statement;
    const time_point now = this->time.now();
    if (statement.says == limit_statement::kind::unknown) {
        return;
    }
    if (statement.says == limit_statement::kind::malformed) {
        ++this->malformed;
        if (now - this->malformed_logged_at >= malformed_log_interval) {
            this->malformed_logged_at = now;
            spdlog::warn("target limit can't be read target={} incarnation={} seen={}",
                         target.value(), incarnation.value(), this->malformed);
        }
        return;
    }
    permits::target_limit limit{target, incarnation, {}, sent_at};
    if (statement.says == limit_statement::kind::limited) {
        limit.rate = statement.rate;
    }
    const permits::limit_change change = this->known.apply(limit);
    if (change != permits::limit_change::none) {
        spdlog::info("target limit {} target={} incarnation={} rate={} source=response age_ms={}",
                     permits::to_string(change), target.value(), incarnation.value(),
                     limit.rate ? limit.rate->count() : 0,
                     (now - sent_at) / std::chrono::milliseconds(1));
    }
}

void target_limits::target_changed(const target_id& target, incarnation_id incarnation) {
    this->known.set_incarnation(target, incarnation);
}

void target_limits::target_removed(const target_id& target) {
    this->known.remove(target);
}

} // namespace kingcupcart::fleet
