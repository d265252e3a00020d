#pragma once

#include "base/clock.h"
#include "task/wakeup.h"

#include <functional>
#include <utility>
#include <vector>

namespace kingcupcart::http {

/// Reads that wait for the same moment. Hundreds of slow streams that were each waited for by a
/// source of their own would wake the loop, and have it look at all its sources, for every event.
class read_round {
public:
    explicit read_round(duration interval) : interval(interval), timer([this] { this->run(); }) {}

    void add(std::function<void()> read) {
        this->reads.push_back(std::move(read));
        if (this->reads.size() == 1) {
            this->timer.arm(std::chrono::steady_clock::now() + this->interval);
        }
    }

private:
    void run() {
        for (const auto& read : std::exchange(this->reads, {})) {
            read();
        }
    }

    duration interval;
    std::vector<std::function<void()>> reads;
    task::wakeup timer;
};

} // namespace kingcupcart::http
