#include "entry/internal/problem.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace kingcupcart::entry {

std::string problem::to_json() const {
    nlohmann::ordered_json body;
    body["type"] = "about:blank";
    body["title"] = this->reason;
    body["status"] = this->status;
    body["outcome"] = requests::to_string(this->outcome);
    if (!this->detail.empty()) {
        body["detail"] = this->detail;
    }
    if (this->retry_after > duration::zero()) {
        body["retry_after_seconds"] = this->retry_after_seconds();
    }
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::int64_t problem::retry_after_seconds() const {
    return std::chrono::ceil<std::chrono::seconds>(this->retry_after).count();
}

} // namespace kingcupcart::entry
