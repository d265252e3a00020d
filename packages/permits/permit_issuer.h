#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "permits/limit_table.h"
#include "permits/permit_limits.h"
#include "permits/permit_messages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace kingcupcart::permits {

/// Issues the permits for all limited targets, at the rates that the targets name, to the senders
/// that ask for them. Only one issuer of a deployment may have authority at a time.
///
/// Answers this load pattern: a dozen to some hundred senders, each with a request now and then,
/// before a target that takes one request a second. An equal share for each would
/// leave most of that rate unused, while a permit on demand goes to whoever has a request.
class permit_issuer {
public:
    /// `table` has to outlive this object.
    permit_issuer(const limit_table& table, permit_limits limits) : table(table), limits(limits) {}

    /// Starts with no permits saved up, since an earlier issuer may have granted some just now.
    void set_authority(bool is_authorized);
    void set_sender_count(std::size_t count) { this->senders = count; }
    void remove_sender(const instance_id& sender);

    /// Answers the demand, if this issuer has authority and the target is limited.
    [[nodiscard]] std::vector<addressed_grant> handle(const instance_id& sender,
                                                      const permit_demand& demand, time_point now);
    /// Grants the permits that have become available since.
    [[nodiscard]] std::vector<addressed_grant> issue(time_point now);
    /// Counts a request that the issuer's own instance sends without asking.
    void charge(const target_id& target, time_point now);
    /// When the next permit becomes available that a sender waits for.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    struct demand_state {
        permit_demand demand;
        time_point received_at{};
    };
    /// The permits that are saved up for a target, and the demands for them.
    struct target_state {
        incarnation_id incarnation;
        double permits = 0;
        time_point updated_at{};
        std::map<instance_id, demand_state> demands;
        /// The sender that got the latest permit.
        instance_id last_served;
    };

    /// Adds the permits that have accrued. Null if the target has no limit.
    target_state* refresh(const target_id& target, time_point now);
    void issue(const target_id& target, target_state& state, time_point now,
               std::vector<addressed_grant>& grants);
    /// The next sender in turn that asks for this kind of permit; null if none does.
    template <typename Member>
    static demand_state* next_in_turn(target_state& state, Member wanted);
    [[nodiscard]] permit_grant make_grant(const permit_demand& demand, const target_state& state,
                                          double rate) const;

    const limit_table& table;
    permit_limits limits;
    bool is_authorized = false;
    std::size_t senders = 0;
    std::map<target_id, target_state> states;
};

} // namespace kingcupcart::permits
