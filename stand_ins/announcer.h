#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::stand_ins {

/// What a stand-in target is told on its command line.
struct target_options {
    std::string id = "target-1";
    std::string backend = "stylist-lm";
    std::string domain = "local";
    std::string region = "local";
    int slots = 16;
    /// Entry instances to announce to; the next one is tried where one fails.
    std::vector<endpoint> entries;
    duration announce_interval = std::chrono::milliseconds(500);
};

/// Announces a target to entry instances, again and again.
class announcer {
public:
    /// `load` gives the running requests, `version` the weights.
    announcer(target_options options, std::string kind, std::function<int()> load,
              std::function<std::uint64_t()> version);
    ~announcer();
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;

    void start(const endpoint& address);
    /// Says that the target leaves; it goes on announcing that.
    void leave();
    /// Something that others should know has changed.
    void announce_change();

private:
    void announce();

    target_options options;
    std::string kind;
    std::function<int()> load;
    std::function<std::uint64_t()> version;
    endpoint address;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    bool leaving = false;
    std::size_t next_entry = 0;
    http::client client;
    std::unique_ptr<http::client::call> call;
    task::wakeup timer;
};

} // namespace kingcupcart::stand_ins
