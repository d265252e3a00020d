#pragma once

#include "base/ids.h"
#include "replicated/commands.h"
#include "replicated/results.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupcart::replicated {

/// The keepers' state: the same on each of them after the same commands. Applying a command never
/// looks at a clock; the command brings its time along.
class replicated_state {
public:
    using command = replicated::command;
    using result = replicated::result;

    /// The outcome of an order, kept for its resends.
    struct order_record {
        std::string order_id;
        configuration_result outcome;
        wall_seconds at{};
    };
    struct claim_record {
        idempotency_key key;
        claim_result owner;
        wall_seconds at{};
    };
    /// Everything, for a snapshot.
    struct content {
        configuration_version version;
        std::string text;
        std::vector<order_record> orders;
        std::vector<claim_record> claims;
        configuration_version routes_version;
        std::string routes_document;
        std::vector<name_weights> weights;
        std::vector<store_member> initial_stores;
        std::vector<instance_id> leaving_stores;
    };

    result apply(const command& agreed);

    [[nodiscard]] configuration_version version() const { return this->accepted; }
    [[nodiscard]] const std::string& text() const { return this->accepted_text; }
    [[nodiscard]] std::size_t claim_count() const { return this->claims.size(); }

    /// Zero while no routes were accepted.
    [[nodiscard]] configuration_version routes_version() const { return this->newest_routes; }
    [[nodiscard]] const std::string& routes_document() const { return this->newest_document; }
    [[nodiscard]] const std::map<model_name, weight_version>& weights() const {
        return this->named_weights;
    }
    [[nodiscard]] const std::vector<store_member>& initial_stores() const {
        return this->initial_members;
    }
    [[nodiscard]] const std::set<instance_id>& leaving_stores() const { return this->leaving; }

    [[nodiscard]] content save() const;
    void load(const content& saved);

    /// How long an order's outcome and a claim are kept, in wall-clock time.
    static constexpr wall_seconds memory = std::chrono::hours(24);

private:
    result on(const accept_configuration& order);
    result on(const claim_key& claim);
    result on(const accept_routes& routes);
    result on(const name_weights& weights);
    result on(const bootstrap_stores& founded);
    result on(const retire_store& retired);
    result on(const confirm_state& asked);
    void forget_before(wall_seconds oldest);

    configuration_version accepted;
    std::string accepted_text;
    std::unordered_map<std::string, configuration_result> orders;
    std::deque<order_record> orders_by_age;
    std::unordered_map<idempotency_key, claim_result> claims;
    std::deque<claim_record> claims_by_age;
    configuration_version newest_routes;
    std::string newest_document;
    std::map<model_name, weight_version> named_weights;
    std::vector<store_member> initial_members;
    std::set<instance_id> leaving;
};

} // namespace kingcupcart::replicated
