#include "keeper/internal/stream_control.h"

#include "streams/record_limits.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupcart::keeper {

stream_control::stream_control(parameters arguments)
    : params(std::move(arguments)), records(streams::max_keeper_records) {}

bool stream_control::handle(const instance_id& from, const wire::message& message) {
    if (const auto* update = std::get_if<wire::stream_record_updates>(&message)) {
        this->handle(*update);
        return true;
    }
    if (const auto* request = std::get_if<wire::stream_lookup_request>(&message)) {
        this->handle(from, *request);
        return true;
    }
    return false;
}

void stream_control::handle(const wire::stream_record_updates& update) {
    const time_point now = this->params.time->now();
    for (const streams::stream_record& record : update.records) {
        this->records.put(record, now);
    }
}

void stream_control::handle(const instance_id& from, const wire::stream_lookup_request& request) {
    const auto record = this->records.find(request.stream, this->params.time->now());
    if (!record) {
        ++this->lookups_stream_unknown;
    } else if (!record->software) {
        ++this->lookups_version_unknown;
    } else {
        ++this->lookups_found;
    }
    spdlog::info("stream looked up stream={} by={} known={} software={} age_ms={}",
                 request.stream.value(), from.value(), record.has_value(),
                 record && record->software ? record->software->value() : "unknown",
                 record ? record->age.count() : 0);
    this->params.send_to_instance(from, wire::stream_lookup_response{request.lookup, record});
}

void stream_control::export_metrics(telemetry::metric_set& metrics) {
    this->records.remove_expired(this->params.time->now());
    const auto set = [&](const char* name, std::uint64_t value) {
        metrics.set(name, static_cast<double>(value));
    };
    set("keeper_stream_records", this->records.size());
    set("keeper_stream_records_evicted", this->records.evicted());
    set("keeper_stream_lookups{outcome=\"found\"}", this->lookups_found);
    set("keeper_stream_lookups{outcome=\"version-unknown\"}", this->lookups_version_unknown);
    set("keeper_stream_lookups{outcome=\"stream-unknown\"}", this->lookups_stream_unknown);
}

} // namespace kingcupcart::keeper
