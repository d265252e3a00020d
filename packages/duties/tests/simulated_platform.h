#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace kingcupcart::duties {

/// Checks what arrives at the platform's side for one subject.
class simulated_platform {
public:
    explicit simulated_platform(duration lease) : lease(lease) {}

    void receive(const instance_id& holder, fencing_token fence, const std::string& window,
                 const std::string& counts, time_point now) {
        ++this->received;
        // No two holders use the same fencing token.
        CHECK(this->holders.emplace(fence, holder).first->second == holder);
        // No call has a lower fencing token than an earlier one.
        CHECK(fence >= this->highest);
        this->highest = std::max(this->highest, fence);
        // Holders never act in the order A, B, A within the lease.
        const auto before = this->last_calls.find(holder);
        if (before != this->last_calls.end()) {
            for (const auto& [other, called_at] : this->last_calls) {
                const bool is_between = other != holder && called_at > before->second;
                CHECK_FALSE((is_between && now - before->second < this->lease));
            }
        }
        this->last_calls.insert_or_assign(holder, now);
        // A window never gets two reports with different counts.
        CHECK(this->windows.emplace(window, counts).first->second == counts);
    }
    [[nodiscard]] std::size_t window_count() const { return this->windows.size(); }
    [[nodiscard]] std::size_t holder_count() const { return this->holders.size(); }
    [[nodiscard]] std::size_t call_count() const { return this->received; }

private:
    duration lease;
    std::map<fencing_token, instance_id> holders;
    std::map<instance_id, time_point> last_calls;
    std::map<std::string, std::string> windows;
    fencing_token highest;
    std::size_t received = 0;
};

} // namespace kingcupcart::duties
