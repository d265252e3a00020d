#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/location.h"
#include "streams/holders.h"
#include "streams/lookup_result.h"
#include "streams/stream_id.h"
#include "streams/stream_lookup.h"
#include "streams/stream_record.h"
#include "streams/stream_table.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace kingcupcart::fleet {

/// Which service and software version began each stream, as far as this instance knows. Keeps the
/// records of the streams that this instance passes on, sends each to the keepers that hold it, and
/// looks up those that other instances made.
class stream_records {
public:
    using lookup_callback = std::function<void(const streams::lookup_result&)>;

    /// Sends a message to a keeper; returns false if the link to it is not open.
    using send_function = std::function<bool(const instance_id&, const wire::message&)>;

    stream_records(const clock& time, failure_domain_id domain, send_function send);

    /// A keeper has said where it is, as it does on each new link. It may have restarted without
    /// its records.
    void keeper_connected(const instance_id& keeper, const location& place);
    void keeper_lost(const instance_id& keeper);

    /// Records a stream before its first event is forwarded, or renews the record of a resumed one.
    /// `timeout` is the longest time that it can last.
    void record(const streams::stream_id& stream, const backend_name& backend,
                const software_version& software, duration timeout);
    /// The version of a recorded stream turned out to be unknown.
    void withdraw(const streams::stream_id& stream, duration timeout);

    /// Finds the record of a stream, within `max_wait`. Calls back once, possibly before it
    /// returns, unless the lookup is cancelled before. Returns the number of the lookup.
    std::uint64_t look_up(const streams::stream_id& stream, duration max_wait,
                          lookup_callback callback);
    void cancel(std::uint64_t lookup);
    [[nodiscard]] std::size_t open_lookups() const { return this->lookups.size(); }

    void handle(const wire::stream_lookup_response& response, const instance_id& from);
    void export_metrics(telemetry::metric_set& metrics);

private:
    struct open_lookup {
        streams::stream_id stream;
        streams::stream_lookup search;
        lookup_callback callback;
    };

    void send_to_holders(const streams::stream_record& record);
    /// Asks the keepers that are due, and ends the lookup if it has a result.
    void advance(std::uint64_t lookup);
    void advance_all();
    void finish(std::uint64_t lookup, const streams::lookup_result& result);
    void send_missed_records();
    void handle_timer();
    void arm_timer();

    const clock& time;
    failure_domain_id domain;
    send_function send;
    streams::stream_table own_records;
    /// The keepers whose links are open.
    std::vector<streams::keeper_place> keepers;
    /// Streams whose records a keeper may have missed. Those at the end are sent first.
    std::map<instance_id, std::vector<streams::stream_id>> missed;
    std::map<std::uint64_t, open_lookup> lookups;
    std::uint64_t last_lookup = 0;
    std::uint64_t records_sent = 0;
    std::map<streams::lookup_outcome, std::uint64_t> ended_lookups;
    bool is_timer_armed = false;
    task::wakeup lookup_timer;
    task::wakeup resend_timer;
};

} // namespace kingcupcart::fleet
