#include "duties/usage_ledger.h"

#include <algorithm>
#include <numeric>

namespace kingcupcart::duties {

namespace {

/// Counts of committed windows are kept for this many windows, so that a repeat of them isn't taken
/// for late counts.
constexpr std::uint64_t retained_windows = 80;

std::uint64_t sum_of(const std::map<account_name, std::uint64_t>& accounts) {
    return std::accumulate(accounts.begin(), accounts.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& item) { return sum + item.second; });
}

} // namespace

std::uint64_t usage_ledger::total_of(const source& from, std::uint64_t window) const {
    const auto found = this->counts.find(window);
    if (found == this->counts.end()) {
        return 0;
    }
    const auto known = found->second.find(from);
    return known == found->second.end() ? 0 : sum_of(known->second);
}

std::uint64_t usage_ledger::record(const source& from, wall_time as_of,
                                   const std::vector<usage_report>& received) {
    wall_time& known_as_of = this->sources[from];
    known_as_of = std::max(known_as_of, as_of);
    std::uint64_t late = 0;
    for (const usage_report& report : received) {
        if (report.window + retained_windows < this->last_committed) {
            continue;
        }
        const std::uint64_t before = this->total_of(from, report.window);
        std::map<account_name, std::uint64_t>& accounts = this->counts[report.window][from];
        for (const auto& [account, count] : report.counts) {
            std::uint64_t& known = accounts[account];
            known = std::max(known, count);
        }
        if (report.window <= this->last_committed) {
            late += sum_of(accounts) - before;
        }
    }
    return late;
}

usage_report usage_ledger::sum(std::uint64_t window) const {
    usage_report total;
    total.window = window;
    const auto found = this->counts.find(window);
    if (found == this->counts.end()) {
        return total;
    }
    for (const auto& [from, accounts] : found->second) {
        for (const auto& [account, count] : accounts) {
            total.counts[account] += count;
        }
    }
    return total;
}

std::vector<instance_id> usage_ledger::incomplete(std::uint64_t window) const {
    std::vector<instance_id> gateways;
    const wall_time end = this->windows.end_of(window);
    const wall_time begin = window == 0 ? wall_time{} : this->windows.end_of(window - 1);
    for (const auto& [from, as_of] : this->sources) {
        if (as_of >= begin && as_of < end) {
            gateways.push_back(from.gateway);
        }
    }
    return gateways;
}

void usage_ledger::committed(std::uint64_t window) {
    this->last_committed = std::max(this->last_committed, window);
    while (!this->counts.empty() &&
           this->counts.begin()->first + retained_windows < this->last_committed) {
        this->counts.erase(this->counts.begin());
    }
    // A gateway that has sent nothing for as long is gone.
    if (this->last_committed > retained_windows) {
        const wall_time oldest = this->windows.end_of(this->last_committed - retained_windows);
        std::erase_if(this->sources, [&](const auto& item) { return item.second < oldest; });
    }
}

} // namespace kingcupcart::duties
