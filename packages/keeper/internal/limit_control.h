#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "permits/limit_statement.h"
#include "permits/limit_table.h"
#include "permits/permit_issuer.h"
#include "task/wakeup.h"
#include "wire/messages.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace kingcupcart::keeper {

/// The rates of requests that targets have named, as this keeper knows them. Issues the permits to
/// send to such targets while this keeper leads.
class limit_control {
public:
    struct parameters {
        const clock* time = nullptr;
        /// Whether this keeper leads, and no other one can.
        std::function<bool()> is_leading;
        std::function<void(const instance_id&, const wire::message&)> send_to_instance;
        std::function<void(const wire::message&)> send_to_gateways_and_stores;
        std::function<void(const wire::message&)> send_to_keepers;
        /// Number of linked instances that send to targets.
        std::function<std::size_t()> count_senders;
    };

    explicit limit_control(parameters arguments);

    /// Records what a response to a call of this keeper says.
    void record(const target_id& target, incarnation_id incarnation,
                const permits::limit_statement& statement, time_point sent_at);
    void handle(const instance_id& from, const wire::limit_report& report);
    void handle(const instance_id& from, const wire::permit_demands& demands);
    /// Counts a call that this keeper sends to the target.
    void count_call(const target_id& target);
    void target_changed(const target_id& target, incarnation_id incarnation);
    void target_removed(const target_id& target);
    void instance_disconnected(const instance_id& instance);
    /// A new leader tells what it knows, since some reports may have reached no leader.
    void leadership_changed(bool is_leader);
    /// Reports of all limits, for an instance that connects.
    [[nodiscard]] std::vector<wire::message> initial_messages() const;

private:
    void apply(const permits::target_limit& limit, const std::string& source);
    void issue();
    void send(const std::vector<permits::addressed_grant>& grants);

    parameters params;
    permits::limit_table table;
    permits::permit_issuer issuer;
    task::wakeup issue_timer;
};

} // namespace kingcupcart::keeper
