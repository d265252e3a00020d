#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "membership/target_record.h"
#include "wire/encoded_message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace kingcupcart::keeper {

/// Sends the records of targets that have changed to the other instances, those of a burst
/// together. The load: when a fleet starts, thousands of targets announce themselves within
/// seconds, and each keeper passes each record on to hundreds of instances.
class target_updates {
public:
    struct parameters {
        const clock* time = nullptr;
        std::function<void(std::span<const wire::encoded_message>)> send_to_keepers;
        std::function<void(std::span<const wire::encoded_message>)> send_to_gateways_and_stores;
        /// Asks for a call of `flush` at this time.
        std::function<void(time_point)> wake_at;
    };

    /// How long updates are collected in a burst. Well below the seconds within which a change of a
    /// target has to be known everywhere.
    static constexpr duration collect_time = std::chrono::milliseconds(50);
    /// Updates that are sent at once within the time of collection. The loads of a step change a
    /// few engines at the same time, and each one's end is worth knowing at once.
    static constexpr std::size_t max_single_updates = 16;

    explicit target_updates(parameters arguments);

    void send_to_all(const membership::target_record& record);
    void send_to_gateways_and_stores(const membership::target_record& record);
    /// Sends what has been collected.
    void flush();

    /// The updates of all targets, for an instance that connects. Only those whose record has
    /// changed since the last call are encoded anew: many instances connect at the same time.
    [[nodiscard]] std::vector<wire::encoded_message>
    encode_all(const std::vector<membership::target_record>& records);

private:
    struct encoded_record {
        membership::target_record record;
        wire::encoded_message update;
    };

    void send_if_due();

    parameters params;
    std::vector<wire::encoded_message> for_keepers;
    std::vector<wire::encoded_message> for_gateways_and_stores;
    /// Those of the last call of `encode_all`.
    std::map<target_id, encoded_record> encoded;
    /// Begin of the present time of collection, and the updates that were sent at once within it.
    time_point window_began_at{};
    std::size_t single_updates = 0;
    bool is_waiting = false;
};

} // namespace kingcupcart::keeper
