#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/system_clock.h"
#include "http/client.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::stand_ins {

/// Options common to all stand-in targets.
struct target_options {
    std::string id = "target-1";
    std::string backend = "stylist-lm";
    std::string domain = "local";
    std::string region = "local";
    int slots = 16;
    /// Entry instances to announce to. After a failed announcement, the next one goes to the next
    /// entry instance of the list.
    std::vector<endpoint> entries;
    duration announcement_interval = std::chrono::milliseconds(500);
};

/// Announces a target periodically to one of the entry instances, on the event loop of the thread
/// that created it.
class announcer {
public:
    /// The callbacks return the values that each announcement carries: the number of running
    /// requests and the version of the engine's weights (zero for a service).
    announcer(target_options options, std::string kind, std::function<int()> running_requests,
              std::function<std::uint64_t()> weight_version);
    ~announcer();
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;

    /// Sends the first announcement; `target_address` is where the target serves requests.
    void start(const endpoint& target_address);
    /// Announces that the target is leaving, now and in all later announcements.
    void leave();
    /// Announces a change at once, under the next sequence number.
    void announce_change();

private:
    void announce();

    target_options options;
    std::string kind;
    std::function<int()> running_requests;
    std::function<std::uint64_t()> weight_version;
    endpoint address;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    bool leaving = false;
    std::size_t next_entry = 0;
    system_clock time;
    http::client client;
    std::unique_ptr<http::client::call> call;
    task::wakeup timer;
};

} // namespace kingcupcart::stand_ins
