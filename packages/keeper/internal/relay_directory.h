#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "relays/reach_table.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>

namespace kingcupcart::keeper {

/// The linked gateways that forward calls for others, as far as each reaches the backends. Names
/// relays to gateways that are cut off.
///
/// What a gateway reports is known as long as the link is open over which it came, and no newer
/// link of the gateway is open.
class relay_directory {
public:
    struct parameters {
        std::function<void(const instance_id&, const wire::message&)> send_to_instance;
        /// Seed of the random choice of relays.
        std::uint64_t seed = 0;
    };

    explicit relay_directory(parameters arguments);

    /// `link` is the number of the instance's link; later links have higher numbers.
    void connected(std::uint64_t link, const wire::hello& hello);
    void disconnected(std::uint64_t link, const instance_id& instance);
    /// Returns false, without effect, unless the message is about relays.
    [[nodiscard]] bool handle(std::uint64_t link, const wire::hello& from,
                              const wire::message& message);
    void export_metrics(telemetry::metric_set& metrics) const;

private:
    struct linked_gateway {
        std::uint64_t link = 0;
        incarnation_id incarnation;
        wire::relay_candidate candidate;
    };

    void handle(std::uint64_t link, const instance_id& from, const wire::reach_report& report);
    void handle(const wire::hello& from, const wire::relay_lookup_request& request);

    parameters params;
    relays::reach_table table;
    std::map<instance_id, linked_gateway> gateways;
    std::uint64_t lookups = 0;
    /// Lookups that no relay could be named for.
    std::uint64_t lookups_without_relay = 0;
};

} // namespace kingcupcart::keeper
