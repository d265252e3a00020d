#include "http/response_budget.h"

#include "telemetry/metric_set.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::http {

response_budget::share::share(std::shared_ptr<response_budget> budget,
                              std::function<void(const std::string&)> end_call)
    : budget(std::move(budget)), end_call(std::move(end_call)) {}

response_budget::share::~share() {
    this->set(0);
}

void response_budget::share::set(std::size_t bytes) {
    if (bytes != this->held_bytes) {
        this->budget->resize(*this, bytes);
    }
}

void response_budget::export_metrics(telemetry::metric_set& metrics) const {
    metrics.set("response_bytes_held", static_cast<double>(this->total_bytes));
    metrics.set("response_bytes_held_peak", static_cast<double>(this->most_bytes));
    metrics.set("response_bytes_limit", static_cast<double>(this->limit_bytes));
    metrics.set("responses_cut", static_cast<double>(this->cut_responses));
}

void response_budget::resize(share& changed, std::size_t bytes) {
    this->total_bytes = this->total_bytes - changed.held_bytes + bytes;
    this->most_bytes = std::max(this->most_bytes, this->total_bytes);
    const bool has_grown = bytes > std::exchange(changed.held_bytes, bytes);
    if (bytes == 0) {
        this->shares.erase(&changed);
    } else {
        this->shares.insert(&changed);
    }
    if (has_grown) {
        this->end_largest_calls();
    }
}

void response_budget::end_largest_calls() {
    while (this->total_bytes > this->limit_bytes) {
        share* largest = this->largest_share();
        if (largest == nullptr) {
            return;
        }
        // Not chosen again, should its owner go on holding the response.
        largest->is_complete = true;
        largest->end_call("the responses in progress exceed the budget of " +
                          std::to_string(this->limit_bytes) + " bytes");
    }
}

response_budget::share* response_budget::largest_share() const {
    share* largest = nullptr;
    for (share* candidate : this->shares) {
        const bool is_larger = largest == nullptr || candidate->held_bytes > largest->held_bytes;
        if (!candidate->is_complete && is_larger) {
            largest = candidate;
        }
    }
    return largest;
}

} // namespace kingcupcart::http
