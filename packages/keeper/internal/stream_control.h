#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "streams/stream_table.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>

namespace kingcupcart::keeper {

/// The records of streams that gateways have chosen this keeper to hold, in memory only. Each
/// gateway sends its own again when it connects.
class stream_control {
public:
    struct parameters {
        const clock* time = nullptr;
        std::function<void(const instance_id&, const wire::message&)> send_to_instance;
    };

    explicit stream_control(parameters arguments);

    /// Returns false, without effect, unless the message is about streams.
    [[nodiscard]] bool handle(const instance_id& from, const wire::message& message);
    void export_metrics(telemetry::metric_set& metrics);

private:
    void handle(const wire::stream_record_updates& update);
    void handle(const instance_id& from, const wire::stream_lookup_request& request);

    parameters params;
    streams::stream_table records;
    std::uint64_t lookups_found = 0;
    std::uint64_t lookups_version_unknown = 0;
    std::uint64_t lookups_stream_unknown = 0;
};

} // namespace kingcupcart::keeper
