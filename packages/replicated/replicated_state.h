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

/// The keepers' replicated state machine: deterministic, so that all keepers hold the same state
/// after the same commands. It reads no clock; commands carry their time.
class replicated_state {
public:
    using command = replicated::command;
    using result = replicated::result;

    /// The outcome of an order, stored so that a resend of the order gets the same response.
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
    struct usage_window {
        std::uint64_t window = 0;
        std::vector<account_usage> counts;

        friend bool operator==(const usage_window&, const usage_window&) = default;
    };
    /// The usage that was committed. Left out of a snapshot if empty, so that builds from before it
    /// was added can read the snapshot.
    struct usage_content {
        /// 0 if no window was committed.
        std::uint64_t last_window = 0;
        std::uint64_t reported_through = 0;
        /// Windows that may not have been reported, oldest first.
        std::vector<usage_window> windows;

        friend bool operator==(const usage_content&, const usage_content&) = default;
    };
    /// The complete state, for a snapshot.
    struct content {
        configuration_version version;
        std::string text;
        std::vector<order_record> orders;
        std::vector<claim_record> claims;
        configuration_version routes_version;
        std::string routes_document;
        std::vector<publish_weights> weights;
        std::vector<store_member> initial_stores;
        std::vector<instance_id> leaving_stores;
        usage_content usage;
    };

    /// Applies a committed command.
    result apply(const command& committed);

    [[nodiscard]] configuration_version version() const { return this->accepted_version; }
    [[nodiscard]] const std::string& text() const { return this->accepted_text; }
    [[nodiscard]] std::size_t claim_count() const { return this->claims.size(); }

    /// Zero until routes are accepted.
    [[nodiscard]] configuration_version routes_version() const {
        return this->newest_routes_version;
    }
    [[nodiscard]] const std::string& routes_document() const {
        return this->newest_routes_document;
    }
    [[nodiscard]] const std::map<model_name, weight_version>& weights() const {
        return this->newest_weights;
    }
    [[nodiscard]] const std::vector<store_member>& initial_stores() const {
        return this->initial_members;
    }
    [[nodiscard]] const std::set<instance_id>& leaving_stores() const { return this->leaving; }

    [[nodiscard]] const usage_content& usage() const { return this->committed_usage; }

    [[nodiscard]] content save() const;
    void load(const content& saved);

    /// How long an order's outcome and a claim are stored, in wall-clock time.
    static constexpr wall_seconds retention = std::chrono::hours(24);
    /// Windows whose counts are stored until the platform has accepted their reports. Five minutes
    /// of windows of 5 s.
    static constexpr std::size_t max_usage_windows = 60;

private:
    result on(const accept_configuration& order);
    result on(const claim_key& claim);
    result on(const accept_routes& routes);
    result on(const publish_weights& weights);
    result on(const bootstrap_stores& bootstrap);
    result on(const retire_store& retirement);
    result on(const read_barrier& barrier);
    result on(const commit_usage& usage);
    void expire_before(wall_seconds oldest);

    configuration_version accepted_version;
    std::string accepted_text;
    std::unordered_map<std::string, configuration_result> orders;
    std::deque<order_record> orders_by_age;
    std::unordered_map<idempotency_key, claim_result> claims;
    std::deque<claim_record> claims_by_age;
    configuration_version newest_routes_version;
    std::string newest_routes_document;
    std::map<model_name, weight_version> newest_weights;
    std::vector<store_member> initial_members;
    std::set<instance_id> leaving;
    usage_content committed_usage;
};

} // namespace kingcupcart::replicated
