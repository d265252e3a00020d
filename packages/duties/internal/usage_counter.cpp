#include "duties/usage_counter.h"

#include <utility>

namespace kingcupcart::duties {

namespace {

/// Counts of a window are kept for this long after its end, for keepers that were unreachable.
constexpr std::chrono::milliseconds retention = std::chrono::minutes(5);

} // namespace

void usage_counter::add(const account_name& account, wall_time began) {
    if (account.value().empty()) {
        return;
    }
    const std::uint64_t window = this->windows.window_of(began);
    ++this->counts[window][account];
    ++this->added;
    this->changed.insert(window);
}

std::vector<usage_report> usage_counter::take_changes() {
    std::vector<usage_report> changes;
    for (const std::uint64_t window : std::exchange(this->changed, {})) {
        changes.push_back({window, this->counts.at(window)});
    }
    return changes;
}

std::vector<usage_report> usage_counter::all() const {
    std::vector<usage_report> reports;
    for (const auto& [window, accounts] : this->counts) {
        reports.push_back({window, accounts});
    }
    return reports;
}

void usage_counter::expire(wall_time now) {
    while (!this->counts.empty() &&
           this->windows.end_of(this->counts.begin()->first) + retention < now) {
        this->changed.erase(this->counts.begin()->first);
        this->counts.erase(this->counts.begin());
    }
}

} // namespace kingcupcart::duties
