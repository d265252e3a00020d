#include "http/caller_budget.h"

#include "telemetry/metric_set.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace kingcupcart::http {

namespace {

/// Callers that sent or took something within the same interval count as equally fast.
constexpr duration look_interval = std::chrono::milliseconds(250);

} // namespace

caller_budget::caller_budget(const clock& time, std::size_t limit_bytes)
    : time(time), limit_bytes(limit_bytes), look_timer([this] {
          this->is_looking = false;
          this->look();
      }) {}

caller_budget::share::share(std::shared_ptr<caller_budget> budget, caller owner)
    : budget(std::move(budget)), peer(std::move(owner)) {}

caller_budget::share::~share() {
    this->set(0);
}

void caller_budget::share::set(std::size_t bytes) {
    if (bytes != this->held_bytes && !this->is_closed) {
        this->budget->resize(*this, bytes);
    }
}

duration caller_budget::share::idle_time() const {
    return this->budget->time.now() - this->moved_at;
}

void caller_budget::export_metrics(telemetry::metric_set& metrics) const {
    metrics.set("caller_bytes_held", static_cast<double>(this->total_bytes));
    metrics.set("caller_bytes_held_peak", static_cast<double>(this->most_bytes));
    metrics.set("caller_bytes_limit", static_cast<double>(this->limit_bytes));
    metrics.set("callers_cut", static_cast<double>(this->cut_callers));
}

void caller_budget::resize(share& changed, std::size_t bytes) {
    this->total_bytes = this->total_bytes - changed.held_bytes + bytes;
    this->most_bytes = std::max(this->most_bytes, this->total_bytes);
    const std::size_t before = std::exchange(changed.held_bytes, bytes);
    if (bytes == 0) {
        this->shares.erase(&changed);
    } else if (before == 0) {
        changed.held_since = this->time.now();
        changed.moved_at = changed.held_since;
        changed.last_moved_bytes.reset();
        this->shares.insert(&changed);
        if (!std::exchange(this->is_looking, true)) {
            this->look_timer.arm(changed.moved_at + look_interval);
        }
    }
    if (bytes > before && this->total_bytes > this->limit_bytes) {
        this->close_connections();
    }
}

void caller_budget::look() {
    const time_point now = this->time.now();
    for (share* held : this->shares) {
        const std::int64_t moved_bytes = held->peer.moved_bytes();
        if (held->last_moved_bytes && moved_bytes > *held->last_moved_bytes) {
            held->moved_at = now;
        }
        held->last_moved_bytes = moved_bytes;
    }
    if (!this->shares.empty() && !std::exchange(this->is_looking, true)) {
        this->look_timer.arm(now + look_interval);
    }
}

void caller_budget::close_connections() {
    this->look();
    while (this->total_bytes > this->limit_bytes) {
        share* next = this->next_to_close();
        if (next == nullptr) {
            return;
        }
        ++this->cut_callers;
        next->peer.close_connection("what is held for callers exceeds the budget of " +
                                    std::to_string(this->limit_bytes) + " bytes");
        next->set(0);
        next->is_closed = true;
    }
}

caller_budget::share* caller_budget::next_to_close() const {
    const auto rank = [](const share* held) {
        return std::tuple(held->idle_time() / look_interval, held->held_bytes,
                          -held->held_since.time_since_epoch());
    };
    const auto last =
        std::max_element(this->shares.begin(), this->shares.end(),
                         [&](const share* a, const share* b) { return rank(a) < rank(b); });
    return last == this->shares.end() ? nullptr : *last;
}

} // namespace kingcupcart::http
