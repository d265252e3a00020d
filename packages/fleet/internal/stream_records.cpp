#include "fleet/stream_records.h"

#include "streams/record_limits.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace kingcupcart::fleet {

namespace {

/// Records in one message to a keeper that may have restarted, and the time between two of them: a
/// full table takes 4.4 s, at 0.6 MB a second.
constexpr std::size_t records_per_message = 512;
constexpr duration resend_interval = std::chrono::milliseconds(50);
/// How often open lookups are checked for answers that are late.
constexpr duration lookup_check_interval = std::chrono::milliseconds(10);

std::chrono::milliseconds lifetime_of(duration timeout) {
    const auto longest = streams::max_record_lifetime;
    return std::min(std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::min(timeout, duration(longest))) +
                        streams::return_margin,
                    longest);
}

} // namespace

stream_records::stream_records(const clock& time, failure_domain_id domain, send_function send)
    : time(time),
      domain(std::move(domain)),
      send(std::move(send)),
      own_records(streams::max_gateway_records),
      lookup_timer([this] { this->handle_timer(); }),
      resend_timer([this] { this->send_missed_records(); }) {}

void stream_records::keeper_connected(const instance_id& keeper, const location& place) {
    std::erase_if(this->keepers, [&](const auto& known) { return known.keeper == keeper; });
    this->keepers.push_back({keeper, place.domain});
    std::vector<streams::stream_id>& streams = this->missed[keeper];
    streams = this->own_records.streams();
    std::erase_if(streams, [&](const streams::stream_id& stream) {
        const auto record = this->own_records.find(stream, this->time.now());
        if (record && !record->software) {
            // It may have been a holder when the stream was recorded, and missed the withdrawal.
            return false;
        }
        const auto holders = streams::choose_holders(stream, this->domain, this->keepers);
        return std::find(holders.begin(), holders.end(), keeper) == holders.end();
    });
    if (streams.empty()) {
        this->missed.erase(keeper);
        return;
    }
    spdlog::info("sending stream records to a keeper keeper={} records={}", keeper.value(),
                 streams.size());
    this->resend_timer.arm_now();
}

void stream_records::keeper_lost(const instance_id& keeper) {
    std::erase_if(this->keepers, [&](const auto& known) { return known.keeper == keeper; });
    this->missed.erase(keeper);
    for (auto& [number, lookup] : this->lookups) {
        lookup.search.record_lost(keeper);
    }
    this->advance_all();
}

void stream_records::send_missed_records() {
    for (auto& [keeper, streams] : this->missed) {
        wire::stream_record_updates message;
        while (!streams.empty() && message.records.size() < records_per_message) {
            // It may have expired meanwhile.
            if (const auto record = this->own_records.find(streams.back(), this->time.now())) {
                message.records.push_back(*record);
            }
            streams.pop_back();
        }
        this->records_sent += message.records.size();
        this->send(keeper, message);
    }
    std::erase_if(this->missed, [](const auto& entry) { return entry.second.empty(); });
    if (!this->missed.empty()) {
        this->resend_timer.arm(this->time.now() + resend_interval);
    }
}

void stream_records::record(const streams::stream_id& stream, const backend_name& backend,
                            const software_version& software, duration timeout) {
    const time_point now = this->time.now();
    const std::size_t id_bytes = stream.value().size();
    if (id_bytes == 0 || id_bytes > streams::max_stream_id_bytes) {
        spdlog::info("stream not recorded, its identifier is empty or too long bytes={}", id_bytes);
        return;
    }
    const streams::stream_record named{stream, backend, software, lifetime_of(timeout), {}};
    this->own_records.put(named, now);
    // A full table does not keep a record that expires before all others.
    const streams::stream_record record = this->own_records.find(stream, now).value_or(named);
    spdlog::info("stream recorded stream={} backend={} software={} age_ms={}", stream.value(),
                 backend.value(), record.software ? record.software->value() : "unknown",
                 record.age.count());
    this->send_to_holders(record);
}

void stream_records::withdraw(const streams::stream_id& stream, duration timeout) {
    const time_point now = this->time.now();
    // The keepers may hold a record that was evicted here.
    const auto known = this->own_records.find(stream, now);
    const streams::stream_record withdrawn{stream, known ? known->backend : backend_name(),
                                           std::nullopt, lifetime_of(timeout),
                                           known ? known->age : std::chrono::milliseconds(0)};
    spdlog::warn("stream withdrawn, its software version is unknown stream={} backend={} "
                 "software={} age_ms={}",
                 stream.value(), withdrawn.backend.value(),
                 known && known->software ? known->software->value() : "unknown",
                 withdrawn.age.count());
    this->own_records.put(withdrawn, now);
    // Keepers that are no holders now may have been when the stream was recorded.
    for (const streams::keeper_place& place : this->keepers) {
        this->send(place.keeper, wire::stream_record_updates{{withdrawn}});
    }
}

void stream_records::send_to_holders(const streams::stream_record& record) {
    const wire::stream_record_updates message{{record}};
    for (const instance_id& holder :
         streams::choose_holders(record.stream, this->domain, this->keepers)) {
        ++this->records_sent;
        if (!this->send(holder, message)) {
            spdlog::warn("stream record not sent stream={} keeper={}", record.stream.value(),
                         holder.value());
        }
    }
}

std::uint64_t stream_records::look_up(const streams::stream_id& stream, duration max_wait,
                                      lookup_callback callback) {
    const std::uint64_t number = ++this->last_lookup;
    const time_point now = this->time.now();
    if (const auto known = this->own_records.find(stream, now)) {
        const auto outcome = known->software ? streams::lookup_outcome::found
                                             : streams::lookup_outcome::version_unknown;
        ++this->ended_lookups[outcome];
        callback({outcome, known, {}});
        return number;
    }
    streams::stream_lookup search(streams::order_for_lookup(stream, this->domain, this->keepers),
                                  now, now + max_wait);
    this->lookups.emplace(number, open_lookup{stream, std::move(search), std::move(callback)});
    this->advance(number);
    this->arm_timer();
    return number;
}

void stream_records::cancel(std::uint64_t lookup) {
    this->lookups.erase(lookup);
}

void stream_records::handle(const wire::stream_lookup_response& response, const instance_id& from) {
    const auto found = this->lookups.find(response.lookup);
    if (found != this->lookups.end()) {
        found->second.search.record_answer(from, response.record);
        this->advance(response.lookup);
    }
}

void stream_records::advance(std::uint64_t lookup) {
    const auto found = this->lookups.find(lookup);
    if (found == this->lookups.end()) {
        return;
    }
    const time_point now = this->time.now();
    open_lookup& open = found->second;
    for (const instance_id& keeper : open.search.take_due(now)) {
        if (!this->send(keeper, wire::stream_lookup_request{lookup, open.stream})) {
            open.search.record_lost(keeper);
        }
    }
    if (const auto result = open.search.result(now)) {
        this->finish(lookup, *result);
    }
}

void stream_records::advance_all() {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, lookup] : this->lookups) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        this->advance(number);
    }
}

void stream_records::finish(std::uint64_t lookup, const streams::lookup_result& result) {
    const auto ended = this->lookups.extract(lookup);
    ++this->ended_lookups[result.outcome];
    if (result.record) {
        // The stream may be taken up here again, or withdrawn.
        this->own_records.put(*result.record, this->time.now());
    }
    ended.mapped().callback(result);
}

void stream_records::handle_timer() {
    this->is_timer_armed = false;
    this->advance_all();
    this->arm_timer();
}

void stream_records::arm_timer() {
    if (!this->lookups.empty() && !this->is_timer_armed) {
        this->is_timer_armed = true;
        this->lookup_timer.arm(this->time.now() + lookup_check_interval);
    }
}

void stream_records::export_metrics(telemetry::metric_set& metrics) {
    this->own_records.remove_expired(this->time.now());
    metrics.set("stream_records", static_cast<double>(this->own_records.size()));
    metrics.set("stream_records_evicted", static_cast<double>(this->own_records.evicted()));
    metrics.set("stream_records_sent", static_cast<double>(this->records_sent));
    metrics.set("stream_lookups_open", static_cast<double>(this->lookups.size()));
    for (const auto& [outcome, count] : this->ended_lookups) {
        metrics.set(std::string("stream_lookups{outcome=\"") + streams::to_string(outcome) + "\"}",
                    static_cast<double>(count));
    }
}

} // namespace kingcupcart::fleet
