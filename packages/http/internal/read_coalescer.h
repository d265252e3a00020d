#pragma once

#include "base/clock.h"
#include "task/wakeup.h"

#include <functional>
#include <utility>
#include <vector>

namespace kingcupcart::http {

/// Runs the pending reads of all streams together, once per interval. With one GLib source per
/// stream, hundreds of slow streams would wake the event loop, and make it poll all its sources,
/// for every event.
class read_coalescer {
public:
    explicit read_coalescer(duration interval)
        : interval(interval), timer([this] { this->run(); }) {}

    void add(std::function<void()> read) {
        this->pending_reads.push_back(std::move(read));
        if (this->pending_reads.size() == 1) {
            this->timer.arm(std::chrono::steady_clock::now() + this->interval);
        }
    }

private:
    void run() {
        for (const auto& read : std::exchange(this->pending_reads, {})) {
            read();
        }
    }

    duration interval;
    std::vector<std::function<void()>> pending_reads;
    task::wakeup timer;
};

} // namespace kingcupcart::http
