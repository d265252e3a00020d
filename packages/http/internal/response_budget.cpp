#include "http/response_budget.h"

#include "telemetry/metric_set.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::http {

response_budget::share::share(std::shared_ptr<response_budget> budget)
    : budget(std::move(budget)) {}

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
    changed.held_bytes = bytes;
}

} // namespace kingcupcart::http
