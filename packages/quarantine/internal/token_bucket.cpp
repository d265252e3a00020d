#include "quarantine/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace kingcupcart::quarantine {

void token_bucket::refill(time_point now) {
    const double elapsed =
        this->refilled_at ? std::chrono::duration<double>(now - *this->refilled_at).count() : 0;
    this->tokens = std::min(this->burst, this->tokens + elapsed * this->rate);
    this->refilled_at = now;
}

bool token_bucket::take(time_point now) {
    this->refill(now);
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

time_point token_bucket::next_at() const {
    if (!this->refilled_at || this->tokens >= 1) {
        return time_point::min();
    }
    return *this->refilled_at +
           std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / this->rate));
}

} // namespace kingcupcart::quarantine
